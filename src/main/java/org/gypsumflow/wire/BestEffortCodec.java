package org.gypsumflow.wire;

import io.netty.util.NetUtil;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AbandonJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.ClosedZones;
import org.gypsumflow.model.BestEffortMessage.ContactsChanged;
import org.gypsumflow.model.BestEffortMessage.DelegateJob;
import org.gypsumflow.model.BestEffortMessage.DelegationEnded;
import org.gypsumflow.model.BestEffortMessage.EntryLoad;
import org.gypsumflow.model.BestEffortMessage.Introduce;
import org.gypsumflow.model.BestEffortMessage.JobAbandoned;
import org.gypsumflow.model.BestEffortMessage.JobList;
import org.gypsumflow.model.BestEffortMessage.MemberHeartbeat;
import org.gypsumflow.model.BestEffortMessage.Neighbour;
import org.gypsumflow.model.BestEffortMessage.PeerMessage;
import org.gypsumflow.model.BestEffortMessage.Relay;
import org.gypsumflow.model.BestEffortMessage.RequestJobs;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.RunSurroundings;
import org.gypsumflow.model.BestEffortMessage.ShareJobs;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.BestEffortMessage.StopTasks;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Check;
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
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.wire.generated.AmountPart;
import org.gypsumflow.wire.generated.DelegationResult;
import org.gypsumflow.wire.generated.DemandPart;
import org.gypsumflow.wire.generated.EndedPart;
import org.gypsumflow.wire.generated.EndingPart;
import org.gypsumflow.wire.generated.Envelope;
import org.gypsumflow.wire.generated.MemberOfSystem;
import org.gypsumflow.wire.generated.NodeHeartbeat;
import org.gypsumflow.wire.generated.OrderPart;
import org.gypsumflow.wire.generated.RoomPart;
import org.gypsumflow.wire.generated.RoutePart;

/**
 * Converts messages about best-effort jobs to and from protobuf.
 *
 * <p>Some names differ between the protocol and the model: an order is a task assignment, a room is a worker status, an
 * ending is a run outcome, closures are closed zones, and to give a job up is to abandon it.
 */
final class BestEffortCodec {
    private static final int HEXADECIMAL_RADIX = 16;
    private static final int MAX_PORT = 65_535;
    private static final long NANOS_PER_MICRO = 1000;

    private BestEffortCodec() {}

    static Envelope encode(BestEffortMessage message) {
        Envelope.Builder envelope = Envelope.newBuilder();
        if (message instanceof Introduce introduce) {
            envelope.setIntroduce(org.gypsumflow.wire.generated.Introduce.newBuilder()
                    .setMember(encode(introduce.member()))
                    .setIncarnation(introduce.incarnation().value()));
        } else if (message instanceof MemberHeartbeat heartbeat) {
            NodeHeartbeat.Builder encoded = NodeHeartbeat.newBuilder()
                    .setSentAtNanos(heartbeat.sentAtNanos())
                    .setRoutingUnconfirmed(!heartbeat.routingConfirmed());
            heartbeat.echoedNanos().ifPresent(encoded::setEchoedNanos);
            envelope.setNodeHeartbeat(encoded);
        } else if (message instanceof AssignTasks assign) {
            envelope.setStartOrders(encode(assign));
        } else if (message instanceof StopTasks stop) {
            envelope.setStopOrders(org.gypsumflow.wire.generated.StopOrders.newBuilder()
                    .setJob(encode(stop.job()))
                    .addAllIndexes(stop.indexes()));
        } else if (message instanceof AgentReport report) {
            envelope.setAgentReport(encode(report));
        } else if (message instanceof ShareRoutingState share) {
            envelope.setShareState(encode(share));
        } else if (message instanceof ShareJobs share) {
            envelope.setShareJobs(encode(share.acceptedJobs()));
        } else if (message instanceof AbandonJob abandon) {
            envelope.setGiveUpJob(org.gypsumflow.wire.generated.GiveUpJob.newBuilder()
                    .setJob(encode(abandon.job()))
                    .setCancelled(abandon.cancelled()));
        } else if (message instanceof JobAbandoned abandoned) {
            envelope.setJobGivenUp(org.gypsumflow.wire.generated.JobGivenUp.newBuilder()
                    .setJob(encode(abandoned.job()))
                    .setWasUnderWay(abandoned.wasActive()));
        } else if (message instanceof RequestJobs request) {
            envelope.setShareJobs(
                    encode(List.of()).setQuestion(request.number()).setExchangesLoads(request.exchangesLoads()));
        } else if (message instanceof JobList list) {
            envelope.setShareJobs(encode(list.jobs()).setAnswer(list.number()));
        } else if (message instanceof ContactsChanged contacts) {
            envelope.setContactsChanged(org.gypsumflow.wire.generated.ContactsChanged.newBuilder()
                    .addAllGained(encodeNames(contacts.gained()))
                    .addAllLost(encodeNames(contacts.lost())));
        } else if (message instanceof Relay relay) {
            envelope.setRelay(org.gypsumflow.wire.generated.Relay.newBuilder()
                    .setEntry(relay.entry().value())
                    .setContent(encode(relay.message())));
        } else if (message instanceof EntryLoad load) {
            envelope.setEntryLoad(encode(load));
        } else if (message instanceof DelegateJob delegate) {
            envelope.setDelegateJob(encode(delegate));
        } else if (message instanceof DelegationEnded ended) {
            envelope.setDelegationEnded(encode(ended));
        }
        return envelope.build();
    }

    static BestEffortMessage decode(Envelope envelope) {
        return switch (envelope.getMessageCase()) {
            case INTRODUCE ->
                new Introduce(
                        decode(envelope.getIntroduce().getMember()),
                        Incarnation.of(envelope.getIntroduce().getIncarnation()));
            case NODE_HEARTBEAT -> decode(envelope.getNodeHeartbeat());
            case START_ORDERS -> decode(envelope.getStartOrders());
            case STOP_ORDERS ->
                new StopTasks(
                        decodeJob(envelope.getStopOrders().getJob()),
                        envelope.getStopOrders().getIndexesList());
            case AGENT_REPORT -> decode(envelope.getAgentReport());
            case SHARE_STATE -> decode(envelope.getShareState());
            case SHARE_JOBS -> decode(envelope.getShareJobs());
            case GIVE_UP_JOB ->
                new AbandonJob(
                        decodeJob(envelope.getGiveUpJob().getJob()),
                        envelope.getGiveUpJob().getCancelled());
            case JOB_GIVEN_UP ->
                new JobAbandoned(
                        decodeJob(envelope.getJobGivenUp().getJob()),
                        envelope.getJobGivenUp().getWasUnderWay());
            case CONTACTS_CHANGED ->
                new ContactsChanged(
                        decodeNames(envelope.getContactsChanged().getGainedList()),
                        decodeNames(envelope.getContactsChanged().getLostList()));
            case RELAY -> decode(envelope.getRelay());
            case ENTRY_LOAD -> decode(envelope.getEntryLoad());
            case DELEGATE_JOB -> decode(envelope.getDelegateJob());
            case DELEGATION_ENDED -> decode(envelope.getDelegationEnded());
            default ->
                throw new IllegalArgumentException("the envelope does not contain a message about best-effort jobs");
        };
    }

    private static Relay decode(org.gypsumflow.wire.generated.Relay relay) {
        // Only the types listed here, so that a relayed message cannot contain another one.
        switch (relay.getContent().getMessageCase()) {
            case SHARE_JOBS, GIVE_UP_JOB, JOB_GIVEN_UP -> {
                return new Relay(MemberName.of(relay.getEntry()), (PeerMessage) decode(relay.getContent()));
            }
            default -> throw new IllegalArgumentException("the relayed message is not one between two entries");
        }
    }

    private static org.gypsumflow.wire.generated.ShareJobs.Builder encode(Collection<JobId> jobs) {
        return org.gypsumflow.wire.generated.ShareJobs.newBuilder()
                .addAllTaken(jobs.stream().map(BestEffortCodec::encode).toList());
    }

    /** Questions and answers have no type of their own, so that a program of an older version reads them as well. */
    private static BestEffortMessage decode(org.gypsumflow.wire.generated.ShareJobs share) {
        List<JobId> jobs =
                share.getTakenList().stream().map(BestEffortCodec::decodeJob).toList();
        if (share.hasQuestion()) {
            return new RequestJobs(share.getQuestion(), share.getExchangesLoads());
        }
        return share.hasAnswer() ? new JobList(share.getAnswer(), jobs) : new ShareJobs(jobs);
    }

    private static List<String> encodeNames(List<MemberName> names) {
        return names.stream().map(MemberName::value).toList();
    }

    private static List<MemberName> decodeNames(List<String> names) {
        return names.stream().map(MemberName::of).toList();
    }

    private static MemberHeartbeat decode(NodeHeartbeat heartbeat) {
        return new MemberHeartbeat(
                heartbeat.getSentAtNanos(),
                heartbeat.hasEchoedNanos() ? OptionalLong.of(heartbeat.getEchoedNanos()) : OptionalLong.empty(),
                !heartbeat.getRoutingUnconfirmed());
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

    /**
     * Decodes a member.
     *
     * @throws ValidationException if a name is invalid, the host is not an IP address, or the port is out of range
     */
    static Member decode(MemberOfSystem part) {
        String host = part.getHost();
        Check.isTrue(
                NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host),
                "host",
                "is \"" + host + "\", but must be an IP address");
        Check.range("port", part.getPort(), 1, MAX_PORT);
        return new Member(
                MemberName.of(part.getNode()),
                part.getEntry() ? Member.Role.ENTRY : Member.Role.AGENT,
                AvailabilityZone.of(part.getZone()),
                host,
                part.getPort());
    }

    private static long encode(JobId job) {
        return Long.parseUnsignedLong(job.value(), HEXADECIMAL_RADIX);
    }

    private static JobId decodeJob(long bits) {
        return JobId.of(HexFormat.of().toHexDigits(bits));
    }

    /** Sends specification and route once: the assignments usually belong to one job, and these are their largest fields. */
    private static org.gypsumflow.wire.generated.StartOrders encode(AssignTasks assign) {
        org.gypsumflow.wire.generated.StartOrders.Builder part = org.gypsumflow.wire.generated.StartOrders.newBuilder();
        if (!assign.assignments().isEmpty()) {
            TaskAssignment first = assign.assignments().get(0);
            part.setSpecification(first.specification()).setRoute(first.route().value());
        }
        for (TaskAssignment assignment : assign.assignments()) {
            OrderPart.Builder orderPart = encode(assignment);
            if (!assignment.specification().equals(part.getSpecification())) {
                orderPart.setSpecification(assignment.specification());
            }
            if (!assignment.route().value().equals(part.getRoute())) {
                orderPart.setRoute(assignment.route().value());
            }
            part.addOrders(orderPart);
        }
        return part.build();
    }

    private static AssignTasks decode(org.gypsumflow.wire.generated.StartOrders part) {
        return new AssignTasks(part.getOrdersList().stream()
                .map(assignment -> decode(assignment, part))
                .toList());
    }

    private static OrderPart.Builder encode(TaskAssignment assignment) {
        return OrderPart.newBuilder()
                .setJob(encode(assignment.task().job()))
                .setIndex(assignment.task().index())
                .setRun(assignment.runNumber().value())
                .setNeeds(encode(assignment.resources()))
                .setEstimateMillis((int) assignment.estimate().toMillis())
                .setStartWithinMillis((int) assignment.maxQueueTime().toMillis())
                .setUrgencyMillis((int) assignment.slack().toMillis())
                .setMayWait(assignment.mayQueue());
    }

    private static TaskAssignment decode(OrderPart part, org.gypsumflow.wire.generated.StartOrders message) {
        String route = part.hasRoute() ? part.getRoute() : message.getRoute();
        return new TaskAssignment(
                BestEffortTaskId.of(decodeJob(part.getJob()), part.getIndex()),
                RunNumber.of(part.getRun()),
                part.hasSpecification() ? part.getSpecification() : message.getSpecification(),
                route.isEmpty() ? TaskAssignment.UNKNOWN_ROUTE : RouteName.of(route),
                decode(part.getNeeds()),
                Duration.ofMillis(part.getEstimateMillis()),
                Duration.ofMillis(part.getStartWithinMillis()),
                Duration.ofMillis(part.getUrgencyMillis()),
                part.getMayWait());
    }

    private static AmountPart encode(Resources resources) {
        return AmountPart.newBuilder()
                .setProcessorMillis(resources.cpuMillicores())
                .setMemoryMegabytes(resources.memoryMegabytes())
                .setAccelerators(resources.accelerators())
                .build();
    }

    private static Resources decode(AmountPart part) {
        return Resources.of(part.getProcessorMillis(), part.getMemoryMegabytes(), part.getAccelerators());
    }

    private static org.gypsumflow.wire.generated.AgentReport encode(AgentReport report) {
        org.gypsumflow.wire.generated.AgentReport.Builder part = org.gypsumflow.wire.generated.AgentReport.newBuilder();
        List<RouteName> routes = report.results().stream()
                .flatMap(result -> result.surroundings().neighbours().stream())
                .map(Neighbour::route)
                .distinct()
                .toList();
        routes.forEach(route -> part.addRoutes(route.value()));
        report.results().forEach(result -> part.addEnded(encode(result, routes)));
        WorkerStatus status = report.workerStatus();
        RoomPart.Builder room = RoomPart.newBuilder()
                .setOpen(status.acceptsTasks())
                .setService(status.service())
                .setZone(status.zone())
                .setCapacity(encode(status.capacity()))
                .setFree(encode(status.uncommitted()))
                .setIdle(encode(status.idle()))
                .setYours(encode(status.assignedByReceiver()))
                .setMeanRunMillis((int) status.meanRunDuration().toMillis())
                .setSlowness((float) status.slowdown())
                .setOverdue((float) status.overdueSlowdown())
                .setFailing((float) status.failureRate())
                .setRunning(status.runningTasks());
        report.runningMillicores()
                .forEach((route, millicores) -> room.addDemand(
                        DemandPart.newBuilder().setRoute(route.value()).setRunningMillis(millicores)));
        return part.setRoom(room).build();
    }

    private static EndedPart.Builder encode(RunResult result, List<RouteName> routes) {
        EndedPart.Builder part = EndedPart.newBuilder()
                .setJob(encode(result.task().job()))
                .setIndex(result.task().index())
                .setRun(result.runNumber().value())
                .setEnding(EndingPart.valueOf(result.outcome().name()))
                .setRanMicros(result.runDuration().toNanos() / NANOS_PER_MICRO)
                .setOccupiedShare(result.surroundings().occupiedShare());
        result.surroundings().neighbours().forEach(neighbour -> part.addNeighbours(routes.indexOf(neighbour.route()))
                .addNeighbourShares(neighbour.overlapShare()));
        return part;
    }

    private static RunSurroundings decodeSurroundings(EndedPart part, List<RouteName> routes) {
        Check.isTrue(
                part.getNeighboursCount() == part.getNeighbourSharesCount(),
                "neighbours",
                "must be as many as their shares");
        List<Neighbour> neighbours = new ArrayList<>();
        for (int index = 0; index < part.getNeighboursCount(); index++) {
            int position = part.getNeighbours(index);
            Check.range("neighbours", position, 0, routes.size() - 1);
            neighbours.add(new Neighbour(routes.get(position), share(part.getNeighbourShares(index))));
        }
        return new RunSurroundings(neighbours, share(part.getOccupiedShare()));
    }

    /** Checks a share, which enters estimates that one invalid value would spoil. */
    private static float share(float value) {
        Check.isTrue(value >= 0 && value <= 1, "share", "is " + value + ", but must be between 0 and 1");
        return value;
    }

    /** Adds up what the parts of a route take, which a sender may tell for each zone of callers. */
    private static Map<RouteName, Integer> decodeRunning(List<DemandPart> parts) {
        Map<RouteName, Integer> running = new HashMap<>();
        parts.stream()
                .filter(part -> !part.getRoute().isEmpty() && part.getRunningMillis() > 0)
                .forEach(part -> running.merge(RouteName.of(part.getRoute()), part.getRunningMillis(), Integer::sum));
        return running;
    }

    private static AgentReport decode(org.gypsumflow.wire.generated.AgentReport part) {
        RoomPart status = part.getRoom();
        List<RouteName> routes =
                part.getRoutesList().stream().map(RouteName::of).toList();
        List<RunResult> results = part.getEndedList().stream()
                .map(endedPart -> new RunResult(
                        BestEffortTaskId.of(decodeJob(endedPart.getJob()), endedPart.getIndex()),
                        RunNumber.of(endedPart.getRun()),
                        decodeOutcome(endedPart.getEnding()),
                        Duration.ofNanos(endedPart.getRanMicros() * NANOS_PER_MICRO),
                        decodeSurroundings(endedPart, routes)))
                .toList();
        return new AgentReport(
                results,
                new WorkerStatus(
                        status.getOpen(),
                        status.getService(),
                        status.getZone(),
                        decode(status.getCapacity()),
                        decode(status.getFree()),
                        decode(status.getIdle()),
                        decode(status.getYours()),
                        Duration.ofMillis(status.getMeanRunMillis()),
                        status.getSlowness(),
                        status.getOverdue(),
                        status.getFailing(),
                        status.getRunning()),
                decodeRunning(status.getDemandList()));
    }

    private static RunOutcome decodeOutcome(EndingPart part) {
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

    private static org.gypsumflow.wire.generated.EntryLoad.Builder encode(EntryLoad load) {
        org.gypsumflow.wire.generated.EntryLoad.Builder part = org.gypsumflow.wire.generated.EntryLoad.newBuilder()
                .setDelayMicros(micros(load.delay()))
                .setActiveJobs(load.activeJobs())
                .setBusyShare((float) load.busyShare())
                .setSentAtMicros(load.sentAtMicros())
                .setEchoHeldMicros(micros(load.echoHeldFor()));
        load.echoedMicros().ifPresent(part::setEchoedMicros);
        return part;
    }

    private static EntryLoad decode(org.gypsumflow.wire.generated.EntryLoad part) {
        Check.isTrue(part.getDelayMicros() >= 0, "delay", "is negative");
        Check.isTrue(part.getBusyShare() >= 0 && part.getBusyShare() <= 1, "busy share", "is not from 0 to 1");
        Check.isTrue(part.getEchoHeldMicros() >= 0, "echo held", "is negative");
        return new EntryLoad(
                Duration.ofNanos(part.getDelayMicros() * NANOS_PER_MICRO),
                part.getActiveJobs(),
                part.getBusyShare(),
                part.getSentAtMicros(),
                part.hasEchoedMicros() ? OptionalInt.of(part.getEchoedMicros()) : OptionalInt.empty(),
                Duration.ofNanos(part.getEchoHeldMicros() * NANOS_PER_MICRO));
    }

    private static int micros(Duration duration) {
        return (int) Math.min(Integer.MAX_VALUE, duration.toNanos() / NANOS_PER_MICRO);
    }

    private static org.gypsumflow.wire.generated.DelegateJob.Builder encode(DelegateJob delegate) {
        return org.gypsumflow.wire.generated.DelegateJob.newBuilder()
                .setJob(encode(delegate.job()))
                .setRoute(delegate.route().value())
                .setRoutesVersion(delegate.routesVersion())
                .setSpecification(delegate.specification())
                .setTaskCount(delegate.taskCount())
                .setNeeds(encode(delegate.resourcesPerTask()))
                .setEstimateMillis((int) delegate.estimate().toMillis())
                .setTimeLeftMillis((int) delegate.timeLeft().toMillis())
                .setAgeMillis((int) delegate.age().toMillis())
                .setZone(delegate.zone().value());
    }

    private static DelegateJob decode(org.gypsumflow.wire.generated.DelegateJob part) {
        Check.range("count", part.getTaskCount(), 1, BestEffortJob.MAX_TASKS);
        Check.isTrue(part.getEstimateMillis() >= 0, "estimate", "is negative");
        Check.isTrue(part.getAgeMillis() >= 0, "age", "is negative");
        return new DelegateJob(
                decodeJob(part.getJob()),
                RouteName.of(part.getRoute()),
                part.getRoutesVersion(),
                part.getSpecification(),
                part.getTaskCount(),
                decode(part.getNeeds()),
                Duration.ofMillis(part.getEstimateMillis()),
                Duration.ofMillis(part.getTimeLeftMillis()),
                Duration.ofMillis(part.getAgeMillis()),
                AvailabilityZone.of(part.getZone()));
    }

    private static org.gypsumflow.wire.generated.DelegationEnded.Builder encode(DelegationEnded ended) {
        BestEffortOutcome outcome = ended.outcome();
        return org.gypsumflow.wire.generated.DelegationEnded.newBuilder()
                .setJob(encode(ended.job()))
                .setResult(outcome.cancelled() ? DelegationResult.CANCELLED : encode(outcome.verdict()))
                .setReason(outcome.reason())
                .setRetryAfterMillis((int) outcome.retryAfter().toMillis());
    }

    private static DelegationResult encode(Verdict verdict) {
        return switch (verdict) {
            case COMPLETED -> DelegationResult.COMPLETED;
            case FAILED -> DelegationResult.JOB_FAILED;
            case NOT_RUN -> DelegationResult.NOT_RUN;
            case MAY_HAVE_RUN -> DelegationResult.MAY_HAVE_RUN;
        };
    }

    /** A result of a newer version proves nothing. */
    private static DelegationEnded decode(org.gypsumflow.wire.generated.DelegationEnded part) {
        String reason = part.getReason();
        Check.isTrue(part.getRetryAfterMillis() >= 0, "retry after", "is negative");
        BestEffortOutcome outcome =
                switch (part.getResult()) {
                    case COMPLETED -> BestEffortOutcome.completed();
                    case JOB_FAILED -> BestEffortOutcome.failed(reason);
                    case NOT_RUN -> BestEffortOutcome.notRun(reason, Duration.ofMillis(part.getRetryAfterMillis()));
                    case CANCELLED -> BestEffortOutcome.ofCancelled();
                    case MAY_HAVE_RUN, UNRECOGNIZED -> BestEffortOutcome.mayHaveRun(reason);
                };
        return new DelegationEnded(decodeJob(part.getJob()), outcome);
    }
}
