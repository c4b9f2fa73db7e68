package org.gypsumflow.wire;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.gypsumflow.model.Attempt;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.EntryName;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.SubmissionDigest;
import org.gypsumflow.model.TaskId;
import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.wire.generated.ConfigurationPart;
import org.gypsumflow.wire.generated.DigestPart;
import org.gypsumflow.wire.generated.EntryPart;
import org.gypsumflow.wire.generated.OutcomePart;
import org.gypsumflow.wire.generated.TaskPart;

/** Converts values that several messages and records contain to and from protobuf. */
final class ValueCodec {
    /** Highest TCP port. */
    private static final int MAX_PORT = 65_535;

    private ValueCodec() {}

    static DigestPart encode(SubmissionDigest digest) {
        return DigestPart.newBuilder()
                .setHigh(digest.high())
                .setLow(digest.low())
                .build();
    }

    static SubmissionDigest decode(DigestPart part) {
        return SubmissionDigest.of(part.getHigh(), part.getLow());
    }

    static TaskPart encode(TaskId task, Attempt attempt) {
        return TaskPart.newBuilder()
                .setSubmission(encode(task.submission()))
                .setIndex(task.index())
                .setAttempt(attempt.number())
                .build();
    }

    static TaskId decodeTask(TaskPart part) {
        return TaskId.of(decode(part.getSubmission()), part.getIndex());
    }

    static Attempt decodeAttempt(TaskPart part) {
        return Attempt.of(part.getAttempt());
    }

    static EntryPart encode(EntryAddress entry) {
        return EntryPart.newBuilder()
                .setName(entry.name().value())
                .setIncarnation(entry.incarnation().value())
                .setZone(entry.zone().value())
                .setHost(entry.host())
                .setPort(entry.port())
                .build();
    }

    /** Decodes an address; throws a {@link ValidationException} for a port that nothing can listen on. */
    static EntryAddress decode(EntryPart part) {
        if (part.getPort() < 1 || part.getPort() > MAX_PORT) {
            throw ValidationException.of("port", part.getPort() + " is not between 1 and " + MAX_PORT);
        }
        return EntryAddress.of(
                EntryName.of(part.getName()),
                Incarnation.of(part.getIncarnation()),
                AvailabilityZone.of(part.getZone()),
                part.getHost(),
                part.getPort());
    }

    /** Encodes an outcome; null, the absence of an outcome, becomes a part with verdict 0. */
    static OutcomePart encode(TaskOutcome outcome) {
        if (outcome == null) {
            return OutcomePart.getDefaultInstance();
        }
        return OutcomePart.newBuilder()
                .setVerdict(encode(outcome.verdict()))
                .setResult(outcome.result())
                .setReason(outcome.reason())
                .setWorker(outcome.worker())
                .build();
    }

    static TaskOutcome decode(OutcomePart part) {
        if (part.getVerdict() == 0) {
            return null;
        }
        return new TaskOutcome(decodeVerdict(part.getVerdict()), part.getResult(), part.getReason(), part.getWorker());
    }

    static int encode(Verdict verdict) {
        return switch (verdict) {
            case COMPLETED -> 1;
            case NOT_RUN -> 2;
            case MAY_HAVE_RUN -> 3;
            case FAILED -> 4;
        };
    }

    static Verdict decodeVerdict(int number) {
        return switch (number) {
            case 1 -> Verdict.COMPLETED;
            case 2 -> Verdict.NOT_RUN;
            case 4 -> Verdict.FAILED;
            default -> Verdict.MAY_HAVE_RUN;
        };
    }

    static ConfigurationPart encode(Configuration configuration) {
        ConfigurationPart.Builder part = ConfigurationPart.newBuilder();
        configuration.closedZones().forEach(zone -> part.addClosedZones(zone.value()));
        configuration.stoppedServices().forEach(service -> part.addStoppedServices(service.value()));
        configuration.quarantinedWorkers().forEach(worker -> part.addQuarantinedWorkers(worker.value()));
        configuration.quotas().forEach((caller, quota) -> part.putQuotas(caller.value(), quota));
        return part.putAllRules(configuration.rules()).build();
    }

    static Configuration decode(ConfigurationPart part) {
        Map<Caller, Integer> quotas = new HashMap<>();
        part.getQuotasMap().forEach((caller, quota) -> quotas.put(Caller.of(caller), quota));
        return new Configuration(
                part.getClosedZonesList().stream().map(AvailabilityZone::of).collect(Collectors.toSet()),
                part.getStoppedServicesList().stream().map(ServiceName::of).collect(Collectors.toSet()),
                part.getQuarantinedWorkersList().stream().map(WorkerName::of).collect(Collectors.toSet()),
                quotas,
                new TreeMap<>(part.getRulesMap()));
    }
}
