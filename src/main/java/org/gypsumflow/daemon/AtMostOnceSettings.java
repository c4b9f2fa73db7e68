package org.gypsumflow.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gypsumflow.control.AgentSettings;
import org.gypsumflow.control.ControlSettings;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Check;
import org.gypsumflow.traffic.TrafficSettings;

/**
 * Settings of a daemon for claimed jobs, read from its settings file.
 *
 * @param role "entry" or "agent"
 * @param name name of the entry, or of the worker that the agent serves
 * @param zone availability zone
 * @param host IP address on which the daemon listens and other processes reach it
 * @param port TCP port for other processes, 0 for a free one; entries only
 * @param httpPort TCP port for HTTP, 0 for a free one
 * @param logUrl base URL of the platform's log
 * @param seeds entries to connect to while the log is unavailable, as {@code host:port}; agents only
 * @param control intervals and timeouts of the control thread
 * @param traffic limits and timeouts of the traffic threads
 * @param agent concurrency limits of the agent
 * @param maxTargetConnections maximum number of connections to the target
 * @param callerTokens access token by name of the caller
 * @param operatorTokens access token by name of the operator
 * @param drainTimeout maximum time that a shutdown waits for active requests
 * @param traceExporter span exporter: "off", "log" or "otlp"
 * @param traceUrl URL of the trace collector; used with "otlp" only
 */
public record AtMostOnceSettings(
        String role,
        String name,
        AvailabilityZone zone,
        String host,
        int port,
        int httpPort,
        String logUrl,
        List<String> seeds,
        ControlSettings control,
        TrafficSettings traffic,
        AgentSettings agent,
        int maxTargetConnections,
        Map<String, String> callerTokens,
        Map<String, String> operatorTokens,
        Duration drainTimeout,
        String traceExporter,
        String traceUrl) {
    /** Role of an entry daemon. */
    public static final String ENTRY = "entry";
    /** Role of an agent daemon. */
    public static final String AGENT = "agent";

    private static final int MAX_PORT = 65_535;
    private static final int HOUR_MILLIS = 3_600_000;
    private static final int MINUTE_MILLIS = 60_000;
    private static final int DAY_MILLIS = 86_400_000;

    /**
     * Reads and validates all settings.
     *
     * @param reader parsed settings file with its overrides
     * @return validated settings
     * @throws org.gypsumflow.model.ValidationException if a setting is missing, invalid or unknown; the message gives
     *     its name, its value and the allowed values
     */
    public static AtMostOnceSettings read(SettingsReader reader) {
        AtMostOnceSettings settings = new AtMostOnceSettings(
                reader.choice("role", "", Set.of(ENTRY, AGENT)),
                Check.name("name", reader.requiredString("name")),
                AvailabilityZone.of(reader.requiredString("zone")),
                reader.optionalString("host").orElse("127.0.0.1"),
                reader.integer("port", 0, 0, MAX_PORT),
                reader.integer("http-port", 0, 0, MAX_PORT),
                reader.requiredString("log.url"),
                reader.stringList("seeds"),
                readControl(reader),
                readTraffic(reader),
                new AgentSettings(
                        reader.integer("agent.slots", 8, 1, 1024), reader.integer("agent.most-entries", 8, 1, 64)),
                reader.integer("agent.connections", 64, 1, 4096),
                reader.stringTable("callers"),
                reader.stringTable("operators"),
                reader.duration("drain-limit-millis", Duration.ofMinutes(6), 0, HOUR_MILLIS),
                reader.choice("trace.exporter", "off", Set.of("off", "log", "otlp")),
                reader.optionalString("trace.url").orElse("http://127.0.0.1:4318/v1/traces"));
        reader.rejectUnknown();
        Check.isTrue(
                settings.control.heartbeatTimeout().compareTo(settings.control.heartbeatInterval()) > 0,
                "control.silence-millis",
                "must be longer than control.heartbeat-millis");
        Check.isTrue(
                settings.traffic.ticketLifetime().compareTo(settings.traffic.deduplicationWindow()) < 0,
                "traffic.ticket-life-millis",
                "must be shorter than traffic.dedupe-window-millis");
        return settings;
    }

    private static ControlSettings readControl(SettingsReader reader) {
        ControlSettings defaults = ControlSettings.defaults();
        return new ControlSettings(
                reader.duration("control.heartbeat-millis", defaults.heartbeatInterval(), 20, MINUTE_MILLIS),
                reader.duration("control.silence-millis", defaults.heartbeatTimeout(), 100, MINUTE_MILLIS),
                reader.duration("control.log-poll-millis", defaults.logPollInterval(), 20, MINUTE_MILLIS),
                reader.duration("control.freshness-bound-millis", defaults.maxConfigurationAge(), 200, MINUTE_MILLIS),
                reader.duration("log.timeout-millis", defaults.logTimeout(), 50, MINUTE_MILLIS),
                reader.duration("control.announce-every-millis", defaults.announceInterval(), 100, HOUR_MILLIS),
                reader.duration("control.member-expiry-millis", defaults.memberExpiry(), 500, HOUR_MILLIS),
                reader.duration("control.snapshot-every-millis", defaults.snapshotInterval(), 500, DAY_MILLIS),
                reader.duration("control.plan-life-millis", defaults.planLifetime(), 100, DAY_MILLIS));
    }

    private static TrafficSettings readTraffic(SettingsReader reader) {
        TrafficSettings defaults = TrafficSettings.defaults();
        return new TrafficSettings(
                reader.integer("traffic.claim-streams", defaults.claimStreamCount(), 1, 99),
                reader.duration("traffic.dedupe-window-millis", defaults.deduplicationWindow(), 1000, DAY_MILLIS),
                reader.integer("traffic.appends-per-second", defaults.maxAppendsPerSecond(), 1, 10_000),
                reader.duration("traffic.append-timeout-millis", defaults.appendTimeout(), 50, MINUTE_MILLIS),
                reader.integer("traffic.most-waiting-tasks", defaults.maxWaitingTasks(), 180, 1_000_000),
                reader.integer("traffic.most-pending-claims", defaults.maxPendingClaimsPerStream(), 1, 1_000_000),
                reader.integer(
                        "traffic.most-answer-characters", defaults.maxCachedOutcomeCharacters(), 0, 1_000_000_000),
                reader.duration("traffic.ticket-life-millis", defaults.ticketLifetime(), 500, DAY_MILLIS),
                reader.integer("traffic.attempts", defaults.maxAttempts(), 1, 1000));
    }
}
