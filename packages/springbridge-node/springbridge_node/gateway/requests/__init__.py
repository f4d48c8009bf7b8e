"""The way of a request through an instance.

router             the order of the steps; the decisions are the rules of `springbridge.routing`
exchange           records of a request in progress
endpoint_selector  asks for the endpoint of an attempt: this instance or a coordinator
selection_parts    joins the selector to the load that instances share
attempt            sends the request to one endpoint and takes its answer
endpoint_answer    reads the endpoint's answer
relay              passes the answer on to the caller
request_codec      port: how requests and answers look on the wire
request_log        logs and counts what was decided
"""
