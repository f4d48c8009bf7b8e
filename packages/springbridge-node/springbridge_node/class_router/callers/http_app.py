"""Maps the paths of a node's HTTP interface to their handlers."""

from tornado.web import Application

from springbridge_node.class_router.callers.caller_handler import (
    HealthHandler,
    NotFoundHandler,
    ReadyHandler,
)
from springbridge_node.class_router.callers.callers_http import (
    AddressesHandler,
    ChatHandler,
    ServiceHandler,
)
from springbridge_node.class_router.node_parts import NodeParts
from springbridge_node.class_router.operators.operators_http import (
    AuditHandler,
    OperatorParts,
    OrderHandler,
    StatusHandler,
    TableHandler,
)


def make_application(parts: NodeParts, operator_parts: OperatorParts) -> Application:
    """Return the application that serves callers and operators."""
    node = {"node": parts}
    operators = {"parts": operator_parts}
    return Application(
        [
            (r"/v1/chat/completions", ChatHandler, node),
            (r"/v1/services/([^/]+)/(.*)", ServiceHandler, node),
            (r"/v1/addresses", AddressesHandler, node),
            (r"/health", HealthHandler, node),
            (r"/ready", ReadyHandler, node),
            (r"/operator/table", TableHandler, operators),
            (r"/operator/audit", AuditHandler, operators),
            (r"/operator/orders", OrderHandler, operators),
            (r"/operator/status", StatusHandler, operators),
        ],
        default_handler_class=NotFoundHandler,
        default_handler_args=node,
        log_function=lambda handler: None,
    )
