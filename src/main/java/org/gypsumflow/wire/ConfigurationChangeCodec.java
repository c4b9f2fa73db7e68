package org.gypsumflow.wire;

import org.gypsumflow.command.ConfigurationChange;
import org.gypsumflow.command.ConfigurationChange.CloseZone;
import org.gypsumflow.command.ConfigurationChange.OpenZone;
import org.gypsumflow.command.ConfigurationChange.QuarantineWorker;
import org.gypsumflow.command.ConfigurationChange.ReleaseWorker;
import org.gypsumflow.command.ConfigurationChange.SetQuota;
import org.gypsumflow.command.ConfigurationChange.SetRule;
import org.gypsumflow.command.ConfigurationChange.StartService;
import org.gypsumflow.command.ConfigurationChange.StopService;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.wire.generated.ChangePart;

/** Converts configuration changes to and from protobuf. */
final class ConfigurationChangeCodec {
    private ConfigurationChangeCodec() {}

    static ChangePart encode(ConfigurationChange change) {
        ChangePart.Builder part = ChangePart.newBuilder();
        if (change instanceof CloseZone close) {
            part.setKind("close-zone").setSubject(close.zone().value());
        } else if (change instanceof OpenZone open) {
            part.setKind("open-zone").setSubject(open.zone().value());
        } else if (change instanceof StopService stop) {
            part.setKind("stop-service").setSubject(stop.service().value());
        } else if (change instanceof StartService start) {
            part.setKind("start-service").setSubject(start.service().value());
        } else if (change instanceof QuarantineWorker quarantine) {
            part.setKind("quarantine-worker").setSubject(quarantine.worker().value());
        } else if (change instanceof ReleaseWorker release) {
            part.setKind("release-worker").setSubject(release.worker().value());
        } else if (change instanceof SetQuota quota) {
            part.setKind("set-quota").setSubject(quota.caller().value()).setValue(Integer.toString(quota.tasks()));
        } else if (change instanceof SetRule rule) {
            part.setKind("set-rule").setSubject(rule.name()).setValue(rule.value());
        }
        return part.build();
    }

    static ConfigurationChange decode(ChangePart part) {
        String subject = part.getSubject();
        return switch (part.getKind()) {
            case "close-zone" -> new CloseZone(AvailabilityZone.of(subject));
            case "open-zone" -> new OpenZone(AvailabilityZone.of(subject));
            case "stop-service" -> new StopService(ServiceName.of(subject));
            case "start-service" -> new StartService(ServiceName.of(subject));
            case "quarantine-worker" -> new QuarantineWorker(WorkerName.of(subject));
            case "release-worker" -> new ReleaseWorker(WorkerName.of(subject));
            case "set-quota" -> new SetQuota(Caller.of(subject), Integer.parseInt(part.getValue()));
            case "set-rule" -> new SetRule(subject, part.getValue());
            default ->
                throw new IllegalArgumentException("unknown kind of configuration change \"" + part.getKind() + "\"");
        };
    }
}
