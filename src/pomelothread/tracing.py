"""OpenTelemetry traces: a span for each hop of a request.

Only OpenTelemetry's API is imported when tracing is off (0.3 MiB); the SDK adds
1.8 MiB and the OTLP exporter another 4.5 MiB, so they are imported when needed.
"""

from collections.abc import Mapping, MutableMapping

from opentelemetry.context import Context
from opentelemetry.trace import NoOpTracer, Span, Tracer, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from . import __version__
from .settings import TracingSettings

# With the exporter's default of 10 s, a stopping process would wait that long for a
# collector that is down.
_EXPORT_TIMEOUT_S = 2.0

_propagator = TraceContextTextMapPropagator()
_HEADER_NAMES = frozenset(_propagator.fields)


def setup_tracing(
    settings: TracingSettings, service_name: str, instance: str
) -> Tracer:
    """Return the tracer of the process.

    Parameters
    ----------
    settings : TracingSettings
        Destinations of spans. Without one, nothing is recorded, but a caller's
        ``traceparent`` is still passed on.
    service_name : str
        Name of the program.
    instance : str
        Name of the instance.

    Returns
    -------
    Tracer
        Its finished spans are exported at the exit of the process at the latest.
    """
    if not settings.otlp_endpoint and not settings.span_file:
        return NoOpTracer()
    # Imported here for the reason in the module's docstring.
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import (
        BatchSpanProcessor,
        ConsoleSpanExporter,
        SimpleSpanProcessor,
    )
    from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio

    provider = TracerProvider(
        sampler=ParentBasedTraceIdRatio(settings.sample_ratio),
        resource=Resource(
            {"service.name": service_name, "service.instance.id": instance}
        ),
    )
    if settings.otlp_endpoint:
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        exporter = OTLPSpanExporter(
            endpoint=settings.otlp_endpoint, timeout=_EXPORT_TIMEOUT_S
        )
        provider.add_span_processor(BatchSpanProcessor(exporter))
    if settings.span_file:
        # Stays open until the process ends; each span is flushed as one line.
        file = open(settings.span_file, "a", encoding="utf-8")  # noqa: PTH123, SIM115
        provider.add_span_processor(
            SimpleSpanProcessor(
                ConsoleSpanExporter(
                    out=file, formatter=lambda span: span.to_json(indent=None) + "\n"
                )
            )
        )
    return provider.get_tracer("pomelothread", __version__)


def extract_context(headers: Mapping[str, str]) -> Context:
    """Return the trace context of a request's headers.

    Parameters
    ----------
    headers : mapping of str to str
        Headers of the request; the case of their names does not matter.

    Returns
    -------
    Context
        Parent for the spans of the request; empty if ``traceparent`` is absent
        or malformed.

    Examples
    --------
    >>> parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    >>> headers = {}
    >>> with NoOpTracer().start_as_current_span(
    ...     "hop", context=extract_context({"Traceparent": parent})
    ... ) as span:
    ...     inject_context(span, headers)
    >>> headers["traceparent"] == parent
    True
    """
    carrier = {
        name.lower(): value
        for name, value in headers.items()
        if name.lower() in _HEADER_NAMES
    }
    return _propagator.extract(carrier, context=Context())


def inject_context(span: Span, headers: MutableMapping[str, str]) -> None:
    """Add ``traceparent`` and ``tracestate`` for the next hop.

    Parameters
    ----------
    span : Span
        Span of this hop.
    headers : mutable mapping of str to str
        Headers of the outgoing request.
    """
    _propagator.inject(headers, context=set_span_in_context(span, Context()))
