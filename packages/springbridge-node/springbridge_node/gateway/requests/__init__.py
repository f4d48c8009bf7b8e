"""Request handling: admits a caller's request, forwards it to an endpoint, relays the answer.

router             runs the steps in order; the decisions are the rules of `springbridge.routing`
exchange           state of a request in progress
endpoint_selector  selects the endpoint of an attempt, at this instance or through a coordinator
selection_parts    wires the selector to the load that instances share
attempt            sends the request to one endpoint and handles its answer
endpoint_answer    reads the endpoint's answer
relay              forwards the answer to the caller
request_codec      port: how requests and answers are encoded on the wire
request_log        logs and counts the decisions
"""
