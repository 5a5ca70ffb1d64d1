"""All settings of all programs, in one class.

``options_flags`` fills it from the command line and the environment.  Durations are
converted to deadlines where they are used.
"""


class EndpointOption:
    """One endpoint that an agent serves.

    :param name: the endpoint's name, unique on the site.
    :param url: its base address.
    :param kind: ``engine`` or ``service``.
    :param checks_orders: whether the endpoint itself refuses orders of an old epoch.
    :param versions: the versions that a plain service serves.
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
    """Bounds that a site guarantees; a gateway reads them from its settings file."""

    __slots__ = (
        "config_s",
        "drain_s",
        "rollback_s",
        "grace_s",
        "budget_ratio",
        "budget_window_s",
        "budget_allowance",
        "canary_share",
        "canary_slack",
        "session_s",
        "warm_excess",
        "warm_slack",
        "cordon_s",
    )

    def __init__(self) -> None:
        # Time within which a change of the configuration is in force, seconds.
        self.config_s = 2.0
        # Time after which a leaving endpoint receives no new requests, seconds.
        self.drain_s = 2.0
        # Time after which a version found bad receives no new requests, seconds.
        self.rollback_s = 5.0
        # Time after which a process that was told to stop is killed, seconds.
        self.grace_s = 8.0
        # Sends beyond the first of each request, as a share of the requests.
        self.budget_ratio = 0.5
        # Window over which that share is counted, seconds.
        self.budget_window_s = 10.0
        # Further sends that the whole fleet may make besides that share, per window.
        self.budget_allowance = 10.0
        # Largest share of a service's requests that a canary version receives.
        self.canary_share = 0.1
        # Requests that it may receive on top of that share, until its rollout ends.
        self.canary_slack = 10.0
        # Longest time between two requests of a session, seconds.
        self.session_s = 5.0
        # Requests that all gateways together may send within one second to an endpoint
        # that is not warm: the requests per second that it bears in this state, times
        # ``warm_excess``, plus ``warm_slack``.
        self.warm_excess = 1.5
        self.warm_slack = 5.0
        # Time after which a cordoned hall receives no new requests, seconds.
        self.cordon_s = 5.0


class Options:
    """Settings with their defaults."""

    def __init__(self) -> None:
        # -- Both daemons --

        # Name of this process's VM, as in the VM list.
        self.vm = "vm"
        # Hall of this VM.
        self.hall = "hall"
        # Region of each hall, by the hall's name.
        self.regions: dict[str, str] = {}
        # IP address that this process listens on.
        self.host = "127.0.0.1"
        # Base address of the platform's services (table, objects, rating, VM list).
        self.platform = "http://127.0.0.1:8700"
        # Name of the plug-in that implements the platform's protocols.
        self.connector = "http"
        # Bearer token for the platform; empty for none. Secret.
        self.platform_token = ""
        # Timeout of one request to the platform, seconds.
        self.platform_wait_s = 1.0
        # Seconds between heartbeats.
        self.beat_s = 0.5
        # Silence after which a peer receives no new requests, seconds.
        self.silent_s = 2.0
        # Silence after which the open streams of a peer are ended, seconds.
        self.stream_silent_s = 5.0
        # Seconds between two reads of the configuration in the table.
        self.config_poll_s = 1.0
        # Bills held in memory before new requests are refused.
        self.max_bills = 50_000
        # Seconds between two writes of bills to the table.
        self.bill_write_s = 0.1
        # Longest wait of a planned stop for requests in flight, seconds.
        self.drain_s = 120.0
        # Host and port of the statsd collector; an empty host turns metrics off.
        self.statsd_host = ""
        self.statsd_port = 8125
        # Whether to log debug events.
        self.verbose = False
        # Z85 CURVE keys between processes; empty for plain TCP. curve_secret is secret.
        self.curve_public = ""
        self.curve_secret = ""

        # -- Entry --

        # Port for callers and operators.
        self.http_port = 8600
        # Addresses of agents in addition to the VM list, tcp://IP:PORT.
        self.agents: list[str] = []
        # Keys for session tokens: the first signs, all are accepted. Secret.
        self.session_keys: list[str] = []
        # SHA-256 of the operator's key, in hex.
        self.operator_key_hash = ""
        # Limit of concurrent requests; further ones are refused immediately.
        self.max_open = 400
        # HTTP threads beyond that limit, so that a refusal never waits for a thread.
        self.spare_threads = 64
        # Largest body of a request, bytes.
        self.max_body = 1024 * 1024
        # Memory for the larger bodies of all requests, bytes.
        self.max_bodies = 16 * 1024 * 1024
        # Retries allowed, as a share of first attempts.
        self.retry_share = 0.1
        # Limit of unacknowledged parts in flight of one stream.
        self.window = 256
        # Seconds that the entry continues to serve once its health check fails.
        self.linger_s = 1.0
        # Duration of the control lease, seconds.
        self.lease_s = 5.0
        # Seconds between two reads of the VM list.
        self.vm_poll_s = 1.0
        # Names of the plug-ins that make the decisions.
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
        # Upper bound of the limit of concurrent requests at one endpoint.
        self.max_running = 64
        # Limit of requests queued for one endpoint.
        self.max_queued = 256
        # Timeout of connecting to an endpoint, seconds.
        self.connect_wait_s = 1.0
        # Longest silence of an endpoint during an answer, seconds.
        self.endpoint_silent_s = 30.0
        # Seconds after which an agent writes a bill that its entry has not written.
        self.bill_patience_s = 3.0
        # Largest whole answer and largest event of an endpoint, bytes.
        self.max_answer = 8 * 1024 * 1024
        self.max_event = 1024 * 1024
        # Memory for the answers that are being read from all endpoints, bytes.
        self.max_answers = 16 * 1024 * 1024
        # How often a stream that an endpoint cut may be resumed.
        self.max_resumes = 3

        # -- Gateway --

        # Path of the settings file that the platform writes.
        self.settings = ""
        # Names of the plug-ins for the platform's wire format and its shared store.
        self.dialect = "platform"
        self.shared_store = "platform"
        # Addresses, IP:PORT: for callers, for readiness checks, of the shared store.
        self.listen = ""
        self.ready_listen = ""
        self.store_address = ""
        # Whether this is the first start of the whole site, when no callers wait yet.
        self.first_start = False
        # Ports for gossip between gateways and for metrics; 0 turns either off.
        self.mesh_port = 0
        self.metrics_port = 9464
        # Memory and file descriptors that this process may use, MB and number.
        self.memory_mb = 256
        self.max_fds = 1024
        # Cores of this machine, fractions included, and its network link in megabits
        # per second; 0 if unknown.
        self.cpu_cores = 0.0
        self.link_mbps = 0.0
        # Whether bytes held for callers and endpoints that read slowly are bounded.
        self.bounds_held_bytes = False
        # Which services admit requests by capacity and workspace shares: ``off``,
        # ``reported`` (those whose endpoints report their pace) or ``all``.
        self.capacity_control = "off"
        # Limit of concurrent requests; 0 derives it from the memory.
        self.max_calls = 0
        # Names of the plug-ins that choose an endpoint and a model.
        self.gateway_routing = "least-filled"
        self.model_choice = "confidence"
        self.bounds = SiteBounds()

        # -- Command line --

        # Base URL of any entry.
        self.entry = "http://127.0.0.1:8600"
        # The operator's key. Secret.
        self.operator_key = ""
        # "text" or "json".
        self.output = "text"
