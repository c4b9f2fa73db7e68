package org.gypsumflow.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gypsumflow.command.OperationRecord;
import org.gypsumflow.command.OperationRecord.ConfirmationSubmitted;
import org.gypsumflow.command.OperationRecord.PlanProposed;
import org.gypsumflow.command.OperationRecord.StateSnapshot;
import org.gypsumflow.command.OperationRecord.StepCompleted;
import org.gypsumflow.command.OperationsState;
import org.gypsumflow.command.OperationsState.LastChange;
import org.gypsumflow.command.Plan;
import org.gypsumflow.command.PlanState;
import org.gypsumflow.command.PlanState.Status;
import org.gypsumflow.command.PlanState.Step;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.PlanId;
import org.gypsumflow.wire.generated.ConfirmPart;
import org.gypsumflow.wire.generated.PlanPart;
import org.gypsumflow.wire.generated.PlanStatePart;
import org.gypsumflow.wire.generated.SnapshotPart;
import org.gypsumflow.wire.generated.StepPart;
import org.gypsumflow.wire.generated.SubjectVersionPart;

/** Converts records of the operations stream to and from protobuf. */
public final class OperationCodec {
    private OperationCodec() {}

    /**
     * Encodes a record.
     *
     * @param operation record to append to the stream
     * @return the record in protobuf
     */
    public static byte[] encode(OperationRecord operation) {
        org.gypsumflow.wire.generated.OperationRecord.Builder body =
                org.gypsumflow.wire.generated.OperationRecord.newBuilder();
        if (operation instanceof PlanProposed proposed) {
            body.setPlan(encode(proposed.plan()));
        } else if (operation instanceof ConfirmationSubmitted confirmation) {
            body.setConfirm(encode(confirmation));
        } else if (operation instanceof StepCompleted completed) {
            body.setStep(encode(completed.plan(), completed.step()));
        } else if (operation instanceof StateSnapshot snapshot) {
            body.setSnapshot(encode(snapshot.state()));
        }
        return body.build().toByteArray();
    }

    /**
     * Decodes a record.
     *
     * @param body body of a record of the stream
     * @return the decoded record
     * @throws IllegalArgumentException if the body is not valid protobuf, or of an unknown kind
     */
    public static OperationRecord decode(byte[] body) {
        try {
            org.gypsumflow.wire.generated.OperationRecord operation =
                    org.gypsumflow.wire.generated.OperationRecord.parseFrom(body);
            return switch (operation.getOperationCase()) {
                case PLAN -> new PlanProposed(decode(operation.getPlan()));
                case CONFIRM -> decode(operation.getConfirm());
                case STEP -> new StepCompleted(PlanId.of(operation.getStep().getPlan()), decode(operation.getStep()));
                case SNAPSHOT -> new StateSnapshot(decode(operation.getSnapshot()));
                case OPERATION_NOT_SET ->
                    throw new IllegalArgumentException("a record of the operations stream is of an unknown kind");
            };
        } catch (InvalidProtocolBufferException invalid) {
            throw new IllegalArgumentException("a record of the operations stream is not valid protobuf", invalid);
        }
    }

    private static PlanPart encode(Plan plan) {
        return PlanPart.newBuilder()
                .setId(plan.id().value())
                .setIntent(plan.intent())
                .setChange(ConfigurationChangeCodec.encode(plan.change()))
                .setOperator(plan.operator().value())
                .setBaseVersion(plan.baseVersion().value())
                .setMadeAtMillis(plan.createdAtMillis())
                .setExpiresAtMillis(plan.expiresAtMillis())
                .addAllSteps(plan.steps())
                .addAllRisks(plan.risks())
                .setNeedsOverride(plan.needsOverride())
                .build();
    }

    private static Plan decode(PlanPart part) {
        return new Plan(
                PlanId.of(part.getId()),
                part.getIntent(),
                ConfigurationChangeCodec.decode(part.getChange()),
                Operator.of(part.getOperator()),
                ConfigurationVersion.of(part.getBaseVersion()),
                part.getMadeAtMillis(),
                part.getExpiresAtMillis(),
                part.getStepsList(),
                part.getRisksList(),
                part.getNeedsOverride());
    }

    private static ConfirmPart encode(ConfirmationSubmitted confirmation) {
        return ConfirmPart.newBuilder()
                .setPlan(confirmation.plan().value())
                .setOperator(confirmation.operator().value())
                .setNonce(confirmation.nonce())
                .setOverride(confirmation.override())
                .setConfirmedAtMillis(confirmation.confirmedAtMillis())
                .build();
    }

    private static ConfirmationSubmitted decode(ConfirmPart part) {
        return new ConfirmationSubmitted(
                PlanId.of(part.getPlan()),
                Operator.of(part.getOperator()),
                part.getNonce(),
                part.getOverride(),
                part.getConfirmedAtMillis());
    }

    private static StepPart encode(PlanId plan, Step step) {
        return StepPart.newBuilder()
                .setPlan(plan.value())
                .setStep(step.name())
                .setAtMillis(step.atMillis())
                .setDetail(step.detail())
                .build();
    }

    private static Step decode(StepPart part) {
        return new Step(part.getStep(), part.getAtMillis(), part.getDetail());
    }

    private static PlanStatePart encode(PlanState state) {
        PlanStatePart.Builder part = PlanStatePart.newBuilder()
                .setPlan(encode(state.plan()))
                .setStanding(state.status().name())
                .setConfirmedBy(state.confirmedBy())
                .setConfirmedAtMillis(state.confirmedAtMillis())
                .setNonce(state.confirmationNonce())
                .setVoidReason(state.voidReason())
                .setVersion(state.version().value());
        state.steps().forEach(step -> part.addSteps(encode(state.plan().id(), step)));
        return part.build();
    }

    private static PlanState decode(PlanStatePart part) {
        return new PlanState(
                decode(part.getPlan()),
                Status.valueOf(part.getStanding()),
                part.getConfirmedBy(),
                part.getConfirmedAtMillis(),
                part.getNonce(),
                part.getVoidReason(),
                ConfigurationVersion.of(part.getVersion()),
                part.getStepsList().stream().map(OperationCodec::decode).toList());
    }

    private static SnapshotPart encode(OperationsState state) {
        SnapshotPart.Builder part = SnapshotPart.newBuilder()
                .setAsOf(state.nextOffset())
                .setConfiguration(ValueCodec.encode(state.configuration()))
                .setConfigurationVersion(state.configurationVersion().value());
        state.plans().values().forEach(plan -> part.addPlans(encode(plan)));
        state.lastChanges()
                .forEach((subject, change) -> part.addSubjects(SubjectVersionPart.newBuilder()
                        .setSubject(subject)
                        .setVersion(change.version().value())
                        .setPlan(change.plan().value())
                        .setOperator(change.operator())));
        return part.build();
    }

    private static OperationsState decode(SnapshotPart part) {
        Map<PlanId, PlanState> plans = new LinkedHashMap<>();
        part.getPlansList().forEach(plan -> plans.put(PlanId.of(plan.getPlan().getId()), decode(plan)));
        Map<String, LastChange> changes = new LinkedHashMap<>();
        part.getSubjectsList()
                .forEach(subject -> changes.put(
                        subject.getSubject(),
                        new LastChange(
                                ConfigurationVersion.of(subject.getVersion()),
                                PlanId.of(subject.getPlan()),
                                subject.getOperator())));
        return new OperationsState(
                part.getAsOf(),
                ValueCodec.decode(part.getConfiguration()),
                ConfigurationVersion.of(part.getConfigurationVersion()),
                plans,
                changes);
    }
}
