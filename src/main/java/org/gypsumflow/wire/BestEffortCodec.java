package org.gypsumflow.wire;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AbandonJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.ClosedZones;
import org.gypsumflow.model.BestEffortMessage.Introduce;
import org.gypsumflow.model.BestEffortMessage.JobAbandoned;
import org.gypsumflow.model.BestEffortMessage.MemberHeartbeat;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.ShareJobs;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.BestEffortMessage.StopTasks;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RoutingTable;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.wire.generated.AmountPart;
import org.gypsumflow.wire.generated.EndedPart;
import org.gypsumflow.wire.generated.EndingPart;
import org.gypsumflow.wire.generated.Envelope;
import org.gypsumflow.wire.generated.MemberOfSystem;
import org.gypsumflow.wire.generated.NodeHeartbeat;
import org.gypsumflow.wire.generated.OrderPart;
import org.gypsumflow.wire.generated.RoomPart;
import org.gypsumflow.wire.generated.RoutePart;

/** Translates messages about jobs that are not stored to and from protobuf. */
final class BestEffortCodec {
    private static final int HEXADECIMAL = 16;
    private static final long NANOS_PER_MICRO = 1000;

    private BestEffortCodec() {}

    static Envelope encode(BestEffortMessage message) {
        Envelope.Builder envelope = Envelope.newBuilder();
        if (message instanceof Introduce introduce) {
            envelope.setIntroduce(org.gypsumflow.wire.generated.Introduce.newBuilder()
                    .setMember(encode(introduce.member()))
                    .setIncarnation(introduce.incarnation().value()));
        } else if (message instanceof MemberHeartbeat heartbeat) {
            envelope.setNodeHeartbeat(NodeHeartbeat.newBuilder().setSentAtNanos(heartbeat.sentAtNanos()));
        } else if (message instanceof AssignTasks start) {
            envelope.setStartOrders(encode(start));
        } else if (message instanceof StopTasks stop) {
            envelope.setStopOrders(org.gypsumflow.wire.generated.StopOrders.newBuilder()
                    .setJob(encode(stop.job()))
                    .addAllIndexes(stop.indexes()));
        } else if (message instanceof AgentReport report) {
            envelope.setAgentReport(encode(report));
        } else if (message instanceof ShareRoutingState share) {
            envelope.setShareState(encode(share));
        } else if (message instanceof ShareJobs share) {
            envelope.setShareJobs(org.gypsumflow.wire.generated.ShareJobs.newBuilder()
                    .addAllTaken(share.acceptedJobs().stream()
                            .map(BestEffortCodec::encode)
                            .toList()));
        } else if (message instanceof AbandonJob giveUp) {
            envelope.setGiveUpJob(org.gypsumflow.wire.generated.GiveUpJob.newBuilder()
                    .setJob(encode(giveUp.job()))
                    .setCancelled(giveUp.cancelled()));
        } else if (message instanceof JobAbandoned givenUp) {
            envelope.setJobGivenUp(org.gypsumflow.wire.generated.JobGivenUp.newBuilder()
                    .setJob(encode(givenUp.job()))
                    .setWasUnderWay(givenUp.wasActive()));
        }
        return envelope.build();
    }

    static BestEffortMessage decode(Envelope envelope) {
        return switch (envelope.getMessageCase()) {
            case INTRODUCE ->
                new Introduce(
                        decode(envelope.getIntroduce().getMember()),
                        Incarnation.of(envelope.getIntroduce().getIncarnation()));
            case NODE_HEARTBEAT ->
                new MemberHeartbeat(envelope.getNodeHeartbeat().getSentAtNanos());
            case START_ORDERS -> decode(envelope.getStartOrders());
            case STOP_ORDERS ->
                new StopTasks(
                        job(envelope.getStopOrders().getJob()),
                        envelope.getStopOrders().getIndexesList());
            case AGENT_REPORT -> decode(envelope.getAgentReport());
            case SHARE_STATE -> decode(envelope.getShareState());
            case SHARE_JOBS ->
                new ShareJobs(envelope.getShareJobs().getTakenList().stream()
                        .map(BestEffortCodec::job)
                        .toList());
            case GIVE_UP_JOB ->
                new AbandonJob(
                        job(envelope.getGiveUpJob().getJob()),
                        envelope.getGiveUpJob().getCancelled());
            case JOB_GIVEN_UP ->
                new JobAbandoned(
                        job(envelope.getJobGivenUp().getJob()),
                        envelope.getJobGivenUp().getWasUnderWay());
            default -> throw new IllegalArgumentException("the envelope holds no message about jobs");
        };
    }

    static MemberOfSystem encode(Member member) {
        return MemberOfSystem.newBuilder()
                .setNode(member.name().value())
                .setEntry(member.role() == Member.Role.ENTRY)
                .setZone(member.zone().value())
                .setHost(member.host())
                .setPort(member.port())
                .build();
    }

    static Member decode(MemberOfSystem part) {
        return new Member(
                MemberName.of(part.getNode()),
                part.getEntry() ? Member.Role.ENTRY : Member.Role.AGENT,
                AvailabilityZone.of(part.getZone()),
                part.getHost(),
                part.getPort());
    }

    private static long encode(JobId job) {
        return Long.parseUnsignedLong(job.value(), HEXADECIMAL);
    }

    private static JobId job(long bits) {
        return JobId.of(String.format("%016x", bits));
    }

    /** Orders of one message usually belong to one job, whose specification is their largest part: it is sent once. */
    private static org.gypsumflow.wire.generated.StartOrders encode(AssignTasks start) {
        String common =
                start.assignments().isEmpty() ? "" : start.assignments().get(0).specification();
        org.gypsumflow.wire.generated.StartOrders.Builder part =
                org.gypsumflow.wire.generated.StartOrders.newBuilder().setSpecification(common);
        for (TaskAssignment order : start.assignments()) {
            OrderPart.Builder each = encode(order);
            if (!order.specification().equals(common)) {
                each.setSpecification(order.specification());
            }
            part.addOrders(each);
        }
        return part.build();
    }

    private static AssignTasks decode(org.gypsumflow.wire.generated.StartOrders part) {
        return new AssignTasks(part.getOrdersList().stream()
                .map(order -> decode(order, part.getSpecification()))
                .toList());
    }

    private static OrderPart.Builder encode(TaskAssignment order) {
        return OrderPart.newBuilder()
                .setJob(encode(order.task().job()))
                .setIndex(order.task().index())
                .setRun(order.runNumber().value())
                .setNeeds(encode(order.resources()))
                .setEstimateMillis((int) order.estimate().toMillis())
                .setStartWithinMillis((int) order.maxQueueTime().toMillis())
                .setUrgencyMillis((int) order.slack().toMillis())
                .setMayWait(order.mayQueue());
    }

    private static TaskAssignment decode(OrderPart part, String common) {
        return new TaskAssignment(
                BestEffortTaskId.of(job(part.getJob()), part.getIndex()),
                RunNumber.of(part.getRun()),
                part.hasSpecification() ? part.getSpecification() : common,
                decode(part.getNeeds()),
                Duration.ofMillis(part.getEstimateMillis()),
                Duration.ofMillis(part.getStartWithinMillis()),
                Duration.ofMillis(part.getUrgencyMillis()),
                part.getMayWait());
    }

    private static AmountPart encode(Resources amount) {
        return AmountPart.newBuilder()
                .setProcessorMillis(amount.cpuMillicores())
                .setMemoryMegabytes(amount.memoryMegabytes())
                .setAccelerators(amount.accelerators())
                .build();
    }

    private static Resources decode(AmountPart part) {
        return Resources.of(part.getProcessorMillis(), part.getMemoryMegabytes(), part.getAccelerators());
    }

    private static org.gypsumflow.wire.generated.AgentReport encode(AgentReport report) {
        org.gypsumflow.wire.generated.AgentReport.Builder part = org.gypsumflow.wire.generated.AgentReport.newBuilder();
        report.results()
                .forEach(ended -> part.addEnded(EndedPart.newBuilder()
                        .setJob(encode(ended.task().job()))
                        .setIndex(ended.task().index())
                        .setRun(ended.runNumber().value())
                        .setEnding(EndingPart.valueOf(ended.outcome().name()))
                        .setRanMicros(ended.runDuration().toNanos() / NANOS_PER_MICRO)));
        WorkerStatus room = report.workerStatus();
        part.setRoom(RoomPart.newBuilder()
                .setOpen(room.acceptsTasks())
                .setService(room.service())
                .setZone(room.zone())
                .setCapacity(encode(room.capacity()))
                .setFree(encode(room.uncommitted()))
                .setIdle(encode(room.idle()))
                .setYours(encode(room.assignedByReceiver()))
                .setMeanRunMillis((int) room.meanRunDuration().toMillis())
                .setSlowness((float) room.slowdown())
                .setOverdue((float) room.overdueSlowdown())
                .setFailing((float) room.failureRate())
                .setRunning(room.runningTasks()));
        return part.build();
    }

    private static AgentReport decode(org.gypsumflow.wire.generated.AgentReport part) {
        RoomPart room = part.getRoom();
        List<RunResult> ended = part.getEndedList().stream()
                .map(each -> new RunResult(
                        BestEffortTaskId.of(job(each.getJob()), each.getIndex()),
                        RunNumber.of(each.getRun()),
                        ending(each.getEnding()),
                        Duration.ofNanos(each.getRanMicros() * NANOS_PER_MICRO)))
                .toList();
        return new AgentReport(
                ended,
                new WorkerStatus(
                        room.getOpen(),
                        room.getService(),
                        room.getZone(),
                        decode(room.getCapacity()),
                        decode(room.getFree()),
                        decode(room.getIdle()),
                        decode(room.getYours()),
                        Duration.ofMillis(room.getMeanRunMillis()),
                        room.getSlowness(),
                        room.getOverdue(),
                        room.getFailing(),
                        room.getRunning()));
    }

    private static RunOutcome ending(EndingPart part) {
        return part == EndingPart.UNRECOGNIZED ? RunOutcome.LOST : RunOutcome.valueOf(part.name());
    }

    private static org.gypsumflow.wire.generated.ShareState encode(ShareRoutingState share) {
        org.gypsumflow.wire.generated.ShareState.Builder part = org.gypsumflow.wire.generated.ShareState.newBuilder()
                .setVersion(share.table().version())
                .setClosuresAsOf(share.closedZones().asOfOffset());
        share.table().capacityEnforcingServices().forEach(service -> part.addGuardedServices(service.value()));
        share.closedZones().zones().forEach(zone -> part.addClosedZones(zone.value()));
        share.table()
                .routes()
                .forEach(route -> part.addRoutes(RoutePart.newBuilder()
                        .setName(route.name().value())
                        .setHost(route.host())
                        .setPathPrefix(route.pathPrefix())
                        .setService(route.service().value())
                        .setPriority(route.priority())
                        .setAttempts(route.maxAttempts())
                        .setStretch(route.latencyFactor())
                        .setAllowanceMillis(route.latencyAllowance().toMillis())
                        .setTimeoutMillis(route.timeout().toMillis())));
        return part.build();
    }

    private static ShareRoutingState decode(org.gypsumflow.wire.generated.ShareState part) {
        List<Route> routes = part.getRoutesList().stream()
                .map(route -> new Route(
                        RouteName.of(route.getName()),
                        route.getHost(),
                        route.getPathPrefix(),
                        ServiceName.of(route.getService()),
                        route.getPriority(),
                        route.getAttempts(),
                        route.getStretch(),
                        Duration.ofMillis(route.getAllowanceMillis()),
                        Duration.ofMillis(route.getTimeoutMillis())))
                .toList();
        return new ShareRoutingState(
                new RoutingTable(
                        part.getVersion(),
                        routes,
                        part.getGuardedServicesList().stream()
                                .map(ServiceName::of)
                                .collect(Collectors.toSet())),
                new ClosedZones(
                        part.getClosuresAsOf(),
                        part.getClosedZonesList().stream()
                                .map(AvailabilityZone::of)
                                .collect(Collectors.toSet())));
    }
}
