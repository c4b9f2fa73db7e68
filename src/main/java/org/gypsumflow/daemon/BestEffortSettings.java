package org.gypsumflow.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.ValidationException;

/**
 * Settings of a daemon for best-effort jobs, read from the {@code dispatch} table of its settings file.
 *
 * @param self name, role, zone and address of this process
 * @param callersAddress address on which callers are served; null for agents
 * @param readinessAddress address on which the platform queries readiness; null for agents
 * @param reportsAddress address on which the worker sends its reports; null for entries
 * @param workerAddress address of the worker's API, as {@code host:port}; empty for entries
 * @param storeAddress address of the platform's store, as {@code host:port}
 * @param metricsAddress address on which metrics are served; empty to serve none
 * @param gracePeriod time after the platform's request to stop until it kills the process
 * @param features parts of the dispatcher that are switched on
 * @param warmUp true if an entry runs made-up jobs after its start to have its code compiled
 */
record BestEffortSettings(
        Member self,
        InetSocketAddress callersAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress reportsAddress,
        String workerAddress,
        String storeAddress,
        Optional<InetSocketAddress> metricsAddress,
        Duration gracePeriod,
        DispatchFeatures features,
        boolean warmUp) {
    private static final String TABLE = "dispatch";
    private static final Set<String> ENTRY_ONLY = Set.of("dispatch.callers-address", "dispatch.readiness-address");
    private static final Set<String> AGENT_ONLY = Set.of("dispatch.reports-address", "dispatch.worker-address");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_GRACE_SECONDS = 3600;

    /** Returns whether the settings file holds the table of this kind of daemon. */
    static boolean isPresentIn(SettingsReader reader) {
        return reader.has(TABLE);
    }

    /**
     * Reads and validates the settings. Settings of the other role are accepted and ignored.
     *
     * @throws ValidationException if a setting is missing, invalid or unknown; the message gives its name and value
     */
    static BestEffortSettings read(SettingsReader reader) {
        String role = reader.choice("role", "", Set.of(AtMostOnceSettings.ENTRY, AtMostOnceSettings.AGENT));
        boolean isEntry = role.equals(AtMostOnceSettings.ENTRY);
        Member self = new Member(
                MemberName.of(reader.requiredString("name")),
                isEntry ? Member.Role.ENTRY : Member.Role.AGENT,
                AvailabilityZone.of(reader.requiredString("zone")),
                reader.requiredString("host"),
                reader.integer("port", 0, 0, MAX_PORT));
        BestEffortSettings settings = new BestEffortSettings(
                self,
                isEntry ? address(reader, "dispatch.callers-address") : null,
                isEntry ? address(reader, "dispatch.readiness-address") : null,
                isEntry ? null : address(reader, "dispatch.reports-address"),
                isEntry ? "" : reader.requiredString("dispatch.worker-address"),
                reader.requiredString("dispatch.store-address"),
                reader.optionalString("dispatch.metrics-address")
                        .map(text -> address("dispatch.metrics-address", text)),
                Duration.ofSeconds(reader.integer("dispatch.grace-seconds", 6, 1, MAX_GRACE_SECONDS)),
                new DispatchFeatures(
                        reader.flag("dispatch.overload-control", false),
                        reader.flag("dispatch.job-balancing", false),
                        reader.flag("dispatch.capacity-sharing", false),
                        reader.flag("dispatch.interference-avoidance", false),
                        reader.flag("dispatch.prompt-call-recovery", false)),
                reader.flag("dispatch.warm-up", false));
        reader.ignore(isEntry ? AGENT_ONLY : ENTRY_ONLY);
        reader.rejectUnknown();
        return settings;
    }

    /** Returns a copy of the settings with another grace period. */
    BestEffortSettings withGracePeriod(Duration newGracePeriod) {
        return new BestEffortSettings(
                self,
                callersAddress,
                readinessAddress,
                reportsAddress,
                workerAddress,
                storeAddress,
                metricsAddress,
                newGracePeriod,
                features,
                warmUp);
    }

    private static InetSocketAddress address(SettingsReader reader, String name) {
        return address(name, reader.requiredString(name));
    }

    // Addresses are IP literals, so no name is resolved.
    @SuppressWarnings("DnsLookup")
    private static InetSocketAddress address(String name, String text) {
        int colon = text.lastIndexOf(':');
        Check.isTrue(colon > 0, name, "\"" + text + "\" must look like \"10.0.0.1:7101\"");
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException malformed) {
            throw ValidationException.of(name, "\"" + text + "\" must look like \"10.0.0.1:7101\"");
        }
    }
}
