package org.gypsumflow.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.ValidationException;

/**
 * What a daemon learns from its settings file when it runs on the users' platform.
 *
 * @param self the process, and where the others reach it
 * @param callersAddress where callers come, entries only
 * @param readinessAddress where the platform asks whether callers may come, entries only
 * @param reportsAddress where the worker reports itself, agents only
 * @param workerAddress where the worker takes orders, as {@code host:port}, agents only
 * @param storeAddress where the platform's store listens, as {@code host:port}
 * @param metricsAddress where metrics are served, if they are
 * @param gracePeriod time between the request to stop and the end of the process at the platform's hands
 */
record BestEffortSettings(
        Member self,
        InetSocketAddress callersAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress reportsAddress,
        String workerAddress,
        String storeAddress,
        Optional<InetSocketAddress> metricsAddress,
        Duration gracePeriod) {
    private static final String TABLE = "dispatch";
    private static final Set<String> ENTRY_ONLY = Set.of("dispatch.callers-address", "dispatch.readiness-address");
    private static final Set<String> AGENT_ONLY = Set.of("dispatch.reports-address", "dispatch.worker-address");
    private static final int MOST_PORT = 65_535;
    private static final int MOST_GRACE_SECONDS = 3600;

    /** Tells whether the settings are of this kind. */
    static boolean isPresentIn(SettingsReader reader) {
        return reader.has(TABLE);
    }

    /**
     * Reads and checks the settings.
     *
     * @throws ValidationException if one is missing, wrong or unknown; the message names it and its value
     */
    static BestEffortSettings read(SettingsReader reader) {
        String role = reader.choice("role", "", Set.of(AtMostOnceSettings.ENTRY, AtMostOnceSettings.AGENT));
        boolean entry = role.equals(AtMostOnceSettings.ENTRY);
        Member self = new Member(
                MemberName.of(reader.requiredString("name")),
                entry ? Member.Role.ENTRY : Member.Role.AGENT,
                AvailabilityZone.of(reader.requiredString("zone")),
                reader.requiredString("host"),
                reader.integer("port", 0, 0, MOST_PORT));
        BestEffortSettings settings = new BestEffortSettings(
                self,
                entry ? address(reader, "dispatch.callers-address") : null,
                entry ? address(reader, "dispatch.readiness-address") : null,
                entry ? null : address(reader, "dispatch.reports-address"),
                entry ? "" : reader.requiredString("dispatch.worker-address"),
                reader.requiredString("dispatch.store-address"),
                reader.optionalString("dispatch.metrics-address")
                        .map(text -> address("dispatch.metrics-address", text)),
                Duration.ofSeconds(reader.integer("dispatch.grace-seconds", 6, 1, MOST_GRACE_SECONDS)));
        reader.ignore(entry ? AGENT_ONLY : ENTRY_ONLY);
        reader.rejectUnknown();
        return settings;
    }

    /** Returns the same settings with another grace time. */
    BestEffortSettings withGracePeriod(Duration other) {
        return new BestEffortSettings(
                self,
                callersAddress,
                readinessAddress,
                reportsAddress,
                workerAddress,
                storeAddress,
                metricsAddress,
                other);
    }

    private static InetSocketAddress address(SettingsReader reader, String name) {
        return address(name, reader.requiredString(name));
    }

    // Addresses are IP numbers, so that nothing is looked up.
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
