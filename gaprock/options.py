"""All settings of all programs, in one class.

The command line and the environment only fill it (``options_flags``).  Settings
that give a span of time are turned into deadlines where they are used.
"""


class EndpointOption:
    """One endpoint that an agent stands before.

    :param name: the endpoint's name, unique on the site.
    :param url: its base address.
    :param kind: ``engine`` or ``service``.
    :param checks_orders: whether it refuses orders with an old epoch by itself.
    :param versions: the versions a plain service answers for.
    """

    __slots__ = ("name", "url", "kind", "checks_orders", "versions")

    def __init__(
        self, name: str, url: str, kind: str, checks_orders: bool, versions: list[str]
    ) -> None:
        self.name = name
        self.url = url
        self.kind = kind
        self.checks_orders = checks_orders
        self.versions = versions


class SiteBounds:
    """What a site promises its users; a gateway reads them from its settings file."""

    __slots__ = (
        "config_s",
        "drain_s",
        "rollback_s",
        "grace_s",
        "budget_ratio",
        "budget_window_s",
        "budget_allowance",
        "canary_share",
        "session_s",
        "warm_excess",
        "warm_slack",
        "emptied_s",
    )

    def __init__(self) -> None:
        # A change of the configuration is in force within this time, seconds.
        self.config_s = 2.0
        # A leaving endpoint gets nothing more after this time, seconds.
        self.drain_s = 2.0
        # A version found bad gets nothing more after this time, seconds.
        self.rollback_s = 5.0
        # A process told to stop is killed after this time, seconds.
        self.grace_s = 8.0
        # Sends beyond the first of each request, as a share of the requests.
        self.budget_ratio = 0.5
        # The window over which that share is counted, seconds.
        self.budget_window_s = 10.0
        # Sends beyond the first that the whole fleet may make besides, per window.
        self.budget_allowance = 10.0
        # Share of a service's requests that an unproved version may get.
        self.canary_share = 0.1
        # Requests of a session follow one another within this time, seconds.
        self.session_s = 5.0
        # What all gateways together may send an endpoint that is not warm within a
        # second: the requests a second that it bears times the first, and the second.
        self.warm_excess = 1.5
        self.warm_slack = 5.0
        # A hall that an operator empties gets nothing more after this time, seconds.
        self.emptied_s = 5.0


class Options:
    """The settings, with their defaults."""

    def __init__(self) -> None:
        # -- Both daemons --

        # The name of this process's VM, as the VM list gives it.
        self.vm = "vm"
        # The hall this VM stands in.
        self.hall = "hall"
        # The region of each hall, by the halls' names.
        self.regions: dict[str, str] = {}
        # The IP number this process listens on.
        self.host = "127.0.0.1"
        # Base address of the platform's services (table, objects, rating, VM list).
        self.platform = "http://127.0.0.1:8700"
        # Name of the plug-in that speaks the platform's protocols.
        self.connector = "http"
        # Bearer token towards the platform; empty for none. Secret.
        self.platform_token = ""
        # Longest wait for one answer of the platform, seconds.
        self.platform_wait_s = 1.0
        # Seconds between heartbeats.
        self.beat_s = 0.5
        # A peer that is silent for this long receives nothing new, seconds.
        self.silent_s = 2.0
        # A peer that is silent for this long loses its open streams, seconds.
        self.stream_silent_s = 5.0
        # Seconds between two looks at the configuration in the table.
        self.config_poll_s = 1.0
        # Bills held in memory before new requests are refused.
        self.max_bills = 50_000
        # Seconds between two writes of bills to the table.
        self.bill_write_s = 0.1
        # A planned stop waits this long for requests in flight, seconds.
        self.drain_s = 120.0
        # Host and port of the statsd collector; an empty host turns metrics off.
        self.statsd_host = ""
        self.statsd_port = 8125
        # Log details as well.
        self.verbose = False
        # Z85 CURVE keys between processes; empty for plain TCP. The secret is one.
        self.curve_public = ""
        self.curve_secret = ""

        # -- Entry --

        # Port for callers and operators.
        self.http_port = 8600
        # Addresses of agents known without the VM list, tcp://IP:PORT.
        self.agents: list[str] = []
        # Keys that sign session tokens, the signing one first. Secret.
        self.session_keys: list[str] = []
        # SHA-256 of the operator's key, in hex.
        self.operator_key_hash = ""
        # Requests open at once; more are refused at once.
        self.max_open = 400
        # HTTP threads beyond that, so that a refusal never waits for one.
        self.spare_threads = 64
        # Largest body of a request, bytes.
        self.max_body = 1024 * 1024
        # Second tries allowed, as a share of first tries.
        self.retry_share = 0.1
        # Parts of one stream under way unacknowledged.
        self.window = 256
        # Seconds the entry goes on serving after its health check began to fail.
        self.linger_s = 1.0
        # Seconds the control lease holds.
        self.lease_s = 5.0
        # Seconds between two looks at the VM list.
        self.vm_poll_s = 1.0
        # Names of the plug-ins that decide.
        self.routing = "two-choices"
        self.cascade = "learned"
        self.guard = "sequential"
        self.placement = "planned"
        # Share of answers that are rated.
        self.rating_share = 1.0
        # Certificate and key files for TLS on the HTTP port; empty for plain HTTP.
        self.tls_cert = ""
        self.tls_key = ""

        # -- Agent --

        # Port for entries.
        self.agent_port = 8650
        # The endpoints on this VM.
        self.endpoints: list[EndpointOption] = []
        # Name of the admission plug-in.
        self.admission = "adaptive"
        # Largest limit of requests at one endpoint.
        self.max_running = 64
        # Requests that may wait for one endpoint.
        self.max_queued = 256
        # Longest wait for a connection to an endpoint, seconds.
        self.connect_wait_s = 1.0
        # Longest silence of an endpoint in the middle of an answer, seconds.
        self.endpoint_silent_s = 30.0
        # Seconds after which an agent writes a bill whose entry has not.
        self.bill_patience_s = 3.0
        # Times a stream that an endpoint cut is taken up again.
        self.max_resumes = 3

        # -- Gateway --

        # Path of the settings file that the platform writes.
        self.settings = ""
        # Names of the plug-ins that translate the platform's wire, and keep its rows.
        self.dialect = "platform"
        self.shared_store = "platform"
        # Addresses, IP:PORT: for callers, for the readiness check, of the shared store.
        self.listen = ""
        self.ready_listen = ""
        self.store_address = ""
        # Whether this is the first start of the whole site, at which nobody waits yet.
        self.first_start = False
        # Port for what gateways tell each other, and for metrics; 0 turns either off.
        self.mesh_port = 0
        self.metrics_port = 9464
        # Memory and file descriptors that this process may use, MB and number.
        self.memory_mb = 256
        self.max_fds = 1024
        # Requests open at once; 0 works it out from the memory.
        self.max_calls = 0
        # Names of the plug-ins that choose an endpoint and a model.
        self.gateway_routing = "least-filled"
        self.model_choice = "confidence"
        self.bounds = SiteBounds()

        # -- Command line --

        # Address of any entry, with scheme.
        self.entry = "http://127.0.0.1:8600"
        # The operator's key. Secret.
        self.operator_key = ""
        # "text" or "json".
        self.output = "text"
