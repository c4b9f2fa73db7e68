package org.gypsumflow.wire;

import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.ReportMessage;
import org.gypsumflow.model.ReportMessage.FindTasksReply;
import org.gypsumflow.model.ReportMessage.HeartbeatReply;
import org.gypsumflow.model.ReportMessage.JobError;
import org.gypsumflow.model.ReportMessage.JobReport;
import org.gypsumflow.model.ReportMessage.KnownTask;
import org.gypsumflow.model.ReportMessage.TaskReport;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestId;
import org.gypsumflow.model.TaskStatus;
import org.gypsumflow.wire.generated.Envelope;

/** Converts replies to commands and queries to and from protobuf. */
final class ReportCodec {
    private ReportCodec() {}

    static Envelope encode(ReportMessage report) {
        Envelope.Builder envelope = Envelope.newBuilder();
        if (report instanceof HeartbeatReply reply) {
            encode(envelope, reply);
        } else if (report instanceof TaskReport task) {
            envelope.getTaskReportBuilder()
                    .setTask(ValueCodec.encode(task.task(), task.attempt()))
                    .setAgentIncarnation(task.agent().value())
                    .setStanding(encode(task.status()))
                    .setOutcome(ValueCodec.encode(task.outcome()));
        } else if (report instanceof FindTasksReply found) {
            encode(envelope, found);
        } else if (report instanceof JobReport job) {
            encode(envelope, job);
        } else if (report instanceof JobError jobError) {
            envelope.getJobRefusedBuilder()
                    .setRequest(jobError.request().value())
                    .setVerdict(ValueCodec.encode(jobError.error().verdict()))
                    .setCode(jobError.error().code().name())
                    .setMessage(jobError.error().message());
        }
        return envelope.build();
    }

    static ReportMessage decode(Envelope envelope) {
        return switch (envelope.getMessageCase()) {
            case HEARTBEAT_REPLY -> decode(envelope.getHeartbeatReply());
            case TASK_REPORT -> decode(envelope.getTaskReport());
            case FOUND_TASKS -> decode(envelope.getFoundTasks());
            case JOB_REPORT -> decode(envelope.getJobReport());
            case JOB_REFUSED -> decode(envelope.getJobRefused());
            default ->
                throw new IllegalArgumentException(
                        "the envelope does not contain a report: " + envelope.getMessageCase());
        };
    }

    private static void encode(Envelope.Builder envelope, HeartbeatReply reply) {
        org.gypsumflow.wire.generated.HeartbeatReply.Builder part = envelope.getHeartbeatReplyBuilder()
                .setEchoNanos(reply.echoNanos())
                .setVersion(reply.version().value())
                .setFreshAgeMillis(reply.configurationAgeMillis())
                .setWaiting(reply.waitingTasks())
                .setLeaving(reply.draining());
        reply.entriesInService().forEach(entry -> part.addEntries(ValueCodec.encode(entry)));
    }

    private static HeartbeatReply decode(org.gypsumflow.wire.generated.HeartbeatReply part) {
        return new HeartbeatReply(
                part.getEchoNanos(),
                ConfigurationVersion.of(part.getVersion()),
                part.getFreshAgeMillis(),
                part.getWaiting(),
                part.getEntriesList().stream().map(ValueCodec::decode).toList(),
                part.getLeaving());
    }

    private static TaskReport decode(org.gypsumflow.wire.generated.TaskReport part) {
        return new TaskReport(
                ValueCodec.decodeTask(part.getTask()),
                ValueCodec.decodeAttempt(part.getTask()),
                Incarnation.of(part.getAgentIncarnation()),
                decodeStatus(part.getStanding()),
                ValueCodec.decode(part.getOutcome()));
    }

    private static void encode(Envelope.Builder envelope, FindTasksReply found) {
        org.gypsumflow.wire.generated.FoundTasks.Builder part =
                envelope.getFoundTasksBuilder().setRequest(found.request().value());
        found.tasks().forEach(task -> part.addTasksBuilder()
                .setIndex(task.index())
                .setStanding(encode(task.status()))
                .setOutcome(ValueCodec.encode(task.outcome())));
    }

    private static FindTasksReply decode(org.gypsumflow.wire.generated.FoundTasks part) {
        return new FindTasksReply(
                RequestId.of(part.getRequest()),
                part.getTasksList().stream()
                        .map(task -> new KnownTask(
                                task.getIndex(),
                                decodeStatus(task.getStanding()),
                                ValueCodec.decode(task.getOutcome())))
                        .toList());
    }

    private static void encode(Envelope.Builder envelope, JobReport report) {
        org.gypsumflow.wire.generated.JobReport.Builder part = envelope.getJobReportBuilder()
                .setRequest(report.request().value())
                .setVerdict(ValueCodec.encode(report.outcome().verdict()))
                .setReason(report.outcome().reason());
        report.outcome().tasks().forEach(task -> part.addTasks(ValueCodec.encode(task)));
    }

    private static JobReport decode(org.gypsumflow.wire.generated.JobReport part) {
        return new JobReport(
                RequestId.of(part.getRequest()),
                new JobOutcome(
                        ValueCodec.decodeVerdict(part.getVerdict()),
                        part.getReason(),
                        part.getTasksList().stream().map(ValueCodec::decode).toList()));
    }

    private static JobError decode(org.gypsumflow.wire.generated.JobRefused part) {
        return new JobError(
                RequestId.of(part.getRequest()),
                new RequestError(
                        ValueCodec.decodeVerdict(part.getVerdict()),
                        ErrorCode.valueOf(part.getCode()),
                        part.getMessage()));
    }

    private static int encode(TaskStatus status) {
        return switch (status) {
            case NOT_STARTED -> 1;
            case RUNNING -> 2;
            case FINISHED -> 3;
        };
    }

    private static TaskStatus decodeStatus(int number) {
        return switch (number) {
            case 1 -> TaskStatus.NOT_STARTED;
            case 2 -> TaskStatus.RUNNING;
            case 3 -> TaskStatus.FINISHED;
            default -> throw new IllegalArgumentException("unknown task status " + number);
        };
    }
}
