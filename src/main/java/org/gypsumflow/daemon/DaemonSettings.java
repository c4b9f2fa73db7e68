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
 * Everything a daemon learns from its settings file.
 *
 * @param role "entry" or "agent"
 * @param name name of the entry, or of the worker that the agent serves
 * @param zone availability zone
 * @param host IP number on which the daemon listens and is reached
 * @param port TCP port for other processes, 0 for a free one; entries only
 * @param httpPort TCP port for HTTP, 0 for a free one
 * @param logUrl where the platform's log listens
 * @param seeds entries to try while the log is out, as {@code host:port}; agents only
 * @param control times of the control thread
 * @param traffic sizes and times of the traffic
 * @param agent size of the agent
 * @param connections most connections to the target
 * @param callers token by caller
 * @param operators token by operator
 * @param drainLimit how long a shutdown waits for requests in flight
 * @param trace "off", "log" or "otlp"
 * @param traceUrl where spans go with "otlp"
 */
public record DaemonSettings(
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
        int connections,
        Map<String, String> callers,
        Map<String, String> operators,
        Duration drainLimit,
        String trace,
        String traceUrl) {
    /** Role of an entry daemon. */
    public static final String ENTRY = "entry";
    /** Role of an agent daemon. */
    public static final String AGENT = "agent";

    private static final int MOST_PORT = 65_535;
    private static final int HOUR_MILLIS = 3_600_000;
    private static final int MINUTE_MILLIS = 60_000;
    private static final int DAY_MILLIS = 86_400_000;

    /**
     * Reads and checks all settings.
     *
     * @param reader where they stand
     * @return the settings
     * @throws org.gypsumflow.model.ValidationException if one is missing, wrong or unknown; the message names it, its
     *     value and what is allowed
     */
    public static DaemonSettings read(SettingsReader reader) {
        DaemonSettings settings = new DaemonSettings(
                reader.choice("role", "", Set.of(ENTRY, AGENT)),
                Check.name("name", reader.text("name")),
                AvailabilityZone.of(reader.text("zone")),
                reader.optionalText("host").orElse("127.0.0.1"),
                reader.number("port", 0, 0, MOST_PORT),
                reader.number("http-port", 0, 0, MOST_PORT),
                reader.text("log.url"),
                reader.list("seeds"),
                readControl(reader),
                readTraffic(reader),
                new AgentSettings(
                        reader.number("agent.slots", 8, 1, 1024), reader.number("agent.most-entries", 8, 1, 64)),
                reader.number("agent.connections", 64, 1, 4096),
                reader.table("callers"),
                reader.table("operators"),
                reader.millis("drain-limit-millis", Duration.ofMinutes(6), 0, HOUR_MILLIS),
                reader.choice("trace.exporter", "off", Set.of("off", "log", "otlp")),
                reader.optionalText("trace.url").orElse("http://127.0.0.1:4318/v1/traces"));
        reader.finish();
        Check.isTrue(
                settings.control.silence().compareTo(settings.control.heartbeat()) > 0,
                "control.silence-millis",
                "must be longer than control.heartbeat-millis");
        Check.isTrue(
                settings.traffic.ticketLifetime().compareTo(settings.traffic.deduplicationWindow()) < 0,
                "traffic.ticket-life-millis",
                "must be shorter than traffic.dedupe-window-millis");
        return settings;
    }

    private static ControlSettings readControl(SettingsReader reader) {
        ControlSettings standard = ControlSettings.defaults();
        return new ControlSettings(
                reader.millis("control.heartbeat-millis", standard.heartbeat(), 20, MINUTE_MILLIS),
                reader.millis("control.silence-millis", standard.silence(), 100, MINUTE_MILLIS),
                reader.millis("control.log-poll-millis", standard.logPoll(), 20, MINUTE_MILLIS),
                reader.millis("control.freshness-bound-millis", standard.freshnessBound(), 200, MINUTE_MILLIS),
                reader.millis("log.timeout-millis", standard.logTimeout(), 50, MINUTE_MILLIS),
                reader.millis("control.announce-every-millis", standard.announceEvery(), 100, HOUR_MILLIS),
                reader.millis("control.member-expiry-millis", standard.memberExpiry(), 500, HOUR_MILLIS),
                reader.millis("control.snapshot-every-millis", standard.snapshotEvery(), 500, DAY_MILLIS),
                reader.millis("control.plan-life-millis", standard.planLife(), 100, DAY_MILLIS));
    }

    private static TrafficSettings readTraffic(SettingsReader reader) {
        TrafficSettings standard = TrafficSettings.defaults();
        return new TrafficSettings(
                reader.number("traffic.claim-streams", standard.claimStreamCount(), 1, 99),
                reader.millis("traffic.dedupe-window-millis", standard.deduplicationWindow(), 1000, DAY_MILLIS),
                reader.number("traffic.appends-per-second", standard.maxAppendsPerSecond(), 1, 10_000),
                reader.millis("traffic.append-timeout-millis", standard.appendTimeout(), 50, MINUTE_MILLIS),
                reader.number("traffic.most-waiting-tasks", standard.maxWaitingTasks(), 180, 1_000_000),
                reader.number("traffic.most-pending-claims", standard.maxPendingClaimsPerStream(), 1, 1_000_000),
                reader.number(
                        "traffic.most-answer-characters", standard.maxCachedOutcomeCharacters(), 0, 1_000_000_000),
                reader.millis("traffic.ticket-life-millis", standard.ticketLifetime(), 500, DAY_MILLIS),
                reader.number("traffic.attempts", standard.maxAttempts(), 1, 1000));
    }
}
