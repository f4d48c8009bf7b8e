"""``springbridge serve``: routes requests by class, driven by the operators' table.

How a request is processed, by module:

  callers/http_app            maps the path to a handler
  callers/work_handler        checks the headers, reads the body with a timeout
  requests/class_admission    key, class, share, failure domains, options; limit_gate: rate and
                              concurrency by leases from the limits' owners
  callers/callers_http        reads the body, writes the answer
  requests/at_most_once       finds or starts the one answer of a request that is not repeatable;
                              home_lookup: which node may run it; home_relay: relays its answer
  requests/runner             acquires a slot, makes attempts and retries (rules: work)
  endpoints/scheduler_roles   which node schedules an endpoint; scheduler_host: the schedulers here
  requests/slot_attempt       one attempt; progress: stalls; resumption: reads and resumes streams
  endpoints/model_client, service_client    HTTP to the endpoint

How a change of the table is processed: operators/operators_http, config/editing,
config/table_store. Then peers/digest_sender announces the version, and config/config_sync of every
other node fetches it.
"""
