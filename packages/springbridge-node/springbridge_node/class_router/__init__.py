"""``springbridge serve``: routes requests by class, driven by the operators' table.

The way of a request, by module:

  callers/http_app            which handler has the path
  callers/work_handler        checks the headers, reads the body within a time
  requests/class_admission    key, class, share, failure domains, options; limit_gate: rate and
                              concurrency by leases from the limits' owners
  callers/callers_http        reads the body, writes the answer
  requests/at_most_once       finds or starts the one answer of a request that is not repeatable;
                              home_lookup: which node may run it; home_relay: the answer from there
  requests/runner             slot, attempt, another attempt (work), until the answer is whole
  endpoints/scheduler_roles   which node schedules an endpoint; scheduler_host: the schedulers here
  requests/slot_attempt       one attempt; progress: stalls; resumption: reads and resumes streams
  endpoints/model_client, service_client    HTTP to the endpoint

The way of a change of the table: operators/operators_http, config/editing, config/table_store. Then
peers/digest_sender announces the version, and config/config_sync of every other node fetches it.
"""
