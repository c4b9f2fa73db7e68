package org.gypsumflow.wire;

import java.time.Duration;
import java.util.stream.Collectors;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.ClaimNonce;
import org.gypsumflow.model.CommandMessage;
import org.gypsumflow.model.CommandMessage.AgentHeartbeat;
import org.gypsumflow.model.CommandMessage.AnnounceAgent;
import org.gypsumflow.model.CommandMessage.AnnounceEntry;
import org.gypsumflow.model.CommandMessage.ApplyConfiguration;
import org.gypsumflow.model.CommandMessage.CancelJob;
import org.gypsumflow.model.CommandMessage.ForwardJob;
import org.gypsumflow.model.CommandMessage.PeerHeartbeat;
import org.gypsumflow.model.CommandMessage.ReportDemand;
import org.gypsumflow.model.CommandMessage.ResolveTask;
import org.gypsumflow.model.CommandMessage.StartTask;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobRequest;
import org.gypsumflow.model.RequestId;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.SubmissionKey;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.wire.generated.Envelope;

/** Converts the messages that change the state of their receiver to and from protobuf. */
final class CommandCodec {
    private CommandCodec() {}

    static Envelope encode(CommandMessage command) {
        Envelope.Builder envelope = Envelope.newBuilder();
        if (command instanceof AnnounceEntry announce) {
            envelope.getAnnounceEntryBuilder().setEntry(ValueCodec.encode(announce.entry()));
        } else if (command instanceof AnnounceAgent announce) {
            encode(envelope, announce);
        } else if (command instanceof AgentHeartbeat heartbeat) {
            encode(envelope, heartbeat);
        } else if (command instanceof PeerHeartbeat heartbeat) {
            envelope.getPeerHeartbeatBuilder()
                    .setSentAtNanos(heartbeat.sentAtNanos())
                    .setVersion(heartbeat.version().value())
                    .setLeaving(heartbeat.draining())
                    .addAllHeldZones(heartbeat.pendingClosures().stream()
                            .map(AvailabilityZone::value)
                            .toList());
        } else if (command instanceof ReportDemand demand) {
            envelope.getReportDemandBuilder().setWaiting(demand.waitingTasks());
        } else if (command instanceof StartTask start) {
            encode(envelope, start);
        } else if (command instanceof ResolveTask resolve) {
            envelope.getResolveTaskBuilder()
                    .setTask(ValueCodec.encode(resolve.task(), resolve.attempt()))
                    .setAgentIncarnation(resolve.agent().value())
                    .setEntryIncarnation(resolve.entry().value());
        } else if (command instanceof ForwardJob forward) {
            encode(envelope, forward);
        } else if (command instanceof CancelJob cancel) {
            envelope.getCancelJobBuilder()
                    .setRequest(cancel.request().value())
                    .setSubmission(ValueCodec.encode(cancel.submission()));
        } else if (command instanceof ApplyConfiguration apply) {
            envelope.getApplyConfigurationBuilder()
                    .setVersion(apply.version().value())
                    .setConfiguration(ValueCodec.encode(apply.configuration()));
        }
        return envelope.build();
    }

    static CommandMessage decode(Envelope envelope) {
        return switch (envelope.getMessageCase()) {
            case ANNOUNCE_ENTRY ->
                new AnnounceEntry(ValueCodec.decode(envelope.getAnnounceEntry().getEntry()));
            case ANNOUNCE_AGENT -> decode(envelope.getAnnounceAgent());
            case AGENT_HEARTBEAT -> decode(envelope.getAgentHeartbeat());
            case PEER_HEARTBEAT ->
                new PeerHeartbeat(
                        envelope.getPeerHeartbeat().getSentAtNanos(),
                        ConfigurationVersion.of(envelope.getPeerHeartbeat().getVersion()),
                        envelope.getPeerHeartbeat().getLeaving(),
                        envelope.getPeerHeartbeat().getHeldZonesList().stream()
                                .map(AvailabilityZone::of)
                                .collect(Collectors.toSet()));
            case REPORT_DEMAND -> new ReportDemand(envelope.getReportDemand().getWaiting());
            case START_TASK -> decode(envelope.getStartTask());
            case RESOLVE_TASK -> decode(envelope.getResolveTask());
            case FORWARD_JOB -> decode(envelope.getForwardJob());
            case CANCEL_JOB ->
                new CancelJob(
                        RequestId.of(envelope.getCancelJob().getRequest()),
                        ValueCodec.decode(envelope.getCancelJob().getSubmission()));
            case APPLY_CONFIGURATION ->
                new ApplyConfiguration(
                        ConfigurationVersion.of(envelope.getApplyConfiguration().getVersion()),
                        ValueCodec.decode(envelope.getApplyConfiguration().getConfiguration()));
            default ->
                throw new IllegalArgumentException(
                        "the envelope does not contain a command: " + envelope.getMessageCase());
        };
    }

    private static void encode(Envelope.Builder envelope, AnnounceAgent announce) {
        envelope.getAnnounceAgentBuilder()
                .setWorker(announce.worker().value())
                .setIncarnation(announce.incarnation().value())
                .setZone(announce.zone().value())
                .setSlots(announce.slots());
    }

    private static AnnounceAgent decode(org.gypsumflow.wire.generated.AnnounceAgent part) {
        return new AnnounceAgent(
                WorkerName.of(part.getWorker()),
                Incarnation.of(part.getIncarnation()),
                AvailabilityZone.of(part.getZone()),
                part.getSlots());
    }

    private static void encode(Envelope.Builder envelope, AgentHeartbeat heartbeat) {
        envelope.getAgentHeartbeatBuilder()
                .setSentAtNanos(heartbeat.sentAtNanos())
                .setVersion(heartbeat.version().value())
                .setService(heartbeat.service())
                .setRunning(heartbeat.runningTasks())
                .setCredit(heartbeat.credit())
                .setLeaving(heartbeat.draining());
    }

    private static AgentHeartbeat decode(org.gypsumflow.wire.generated.AgentHeartbeat part) {
        return new AgentHeartbeat(
                part.getSentAtNanos(),
                ConfigurationVersion.of(part.getVersion()),
                part.getService(),
                part.getRunning(),
                part.getCredit(),
                part.getLeaving());
    }

    private static void encode(Envelope.Builder envelope, StartTask start) {
        envelope.getStartTaskBuilder()
                .setTask(ValueCodec.encode(start.task(), start.attempt()))
                .setAgentIncarnation(start.agent().value())
                .setEntryIncarnation(start.entry().value())
                .setService(start.service().value())
                .setPayload(start.payload())
                .setTimeoutMillis(start.timeout().toMillis())
                .setTraceParent(start.trace().value());
    }

    private static StartTask decode(org.gypsumflow.wire.generated.StartTask part) {
        return new StartTask(
                ValueCodec.decodeTask(part.getTask()),
                ValueCodec.decodeAttempt(part.getTask()),
                Incarnation.of(part.getAgentIncarnation()),
                Incarnation.of(part.getEntryIncarnation()),
                ServiceName.of(part.getService()),
                part.getPayload(),
                Duration.ofMillis(part.getTimeoutMillis()),
                TraceParent.of(part.getTraceParent()));
    }

    private static ResolveTask decode(org.gypsumflow.wire.generated.ResolveTask part) {
        return new ResolveTask(
                ValueCodec.decodeTask(part.getTask()),
                ValueCodec.decodeAttempt(part.getTask()),
                Incarnation.of(part.getAgentIncarnation()),
                Incarnation.of(part.getEntryIncarnation()));
    }

    private static void encode(Envelope.Builder envelope, ForwardJob forward) {
        JobRequest job = forward.job();
        envelope.getForwardJobBuilder()
                .setRequest(forward.request().value())
                .setCaller(job.key().caller().value())
                .setKey(job.key().key())
                .setService(job.service().value())
                .addAllPayloads(job.payloads())
                .setTimeoutMillis(job.timeout().toMillis())
                .setNonceHigh(forward.nonce().high())
                .setNonceLow(forward.nonce().low())
                .setTraceParent(forward.trace().value());
    }

    private static ForwardJob decode(org.gypsumflow.wire.generated.ForwardJob part) {
        JobRequest job = JobRequest.of(
                SubmissionKey.of(Caller.of(part.getCaller()), part.getKey()),
                ServiceName.of(part.getService()),
                part.getPayloadsList(),
                Duration.ofMillis(part.getTimeoutMillis()));
        return new ForwardJob(
                RequestId.of(part.getRequest()),
                job,
                ClaimNonce.of(part.getNonceHigh(), part.getNonceLow()),
                TraceParent.of(part.getTraceParent()));
    }
}
