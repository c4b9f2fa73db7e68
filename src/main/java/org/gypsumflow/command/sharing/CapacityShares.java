package org.gypsumflow.command.sharing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.ServiceName;

/**
 * Decides which share of a service goes first while its capacity is short, by weighted max-min fairness: no share gets
 * more than it asks for, and what one leaves goes to the others by their weights. The priority of a route gives its
 * weight.
 *
 * <p>Answers the load in which one kind of request bursts, or all do, and the kinds that need much capacity at once
 * lose against those that take it piece by piece. A share that has more than its part is not rejected for that: its
 * tasks leave a part of each worker free and wait behind those of the other shares, for as long as these ask for it.
 *
 * <p>An entry counts its own jobs only. The counts are forgotten within seconds and need no restart of anything.
 * Confined to one thread.
 */
public final class CapacityShares {
    /** Largest part of a worker that a share leaves to the others, however far it is beyond its own. */
    public static final double MAX_RESERVED_SHARE = 0.5;
    /** Retry-After while capacity is not short: the queue of a worker drains within this time. */
    public static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
    /** Longest Retry-After; a burst is usually over by then. */
    public static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

    /** Weight of a route against one of the next lower priority. */
    private static final double WEIGHT_RATIO = 2;
    /** Time constant of the counts: several of the longest jobs, and short against a burst. */
    static final Duration TIME_CONSTANT = Duration.ofSeconds(1);
    /** Time constant of what was delayed: shorter, so that nobody yields for long to a share that asks no more. */
    private static final Duration SHORTAGE_TIME_CONSTANT = Duration.ofMillis(500);
    /** Part of the work asked for that must have been delayed for capacity to count as short. */
    private static final double SHORTAGE_THRESHOLD = 0.15;
    /** The same for capacity that was short before, so that it does not change with single jobs. */
    private static final double SHORTAGE_END_THRESHOLD = 0.1;
    /** Relative difference of rates that counts as equal. */
    private static final double TOLERANCE = 0.02;
    /** Part of a worker that is left free for each unit by which a share exceeds its own. */
    private static final double RESERVED_SHARE_PER_EXCESS = 0.5;
    /** The division of capacity is computed at most this often. */
    private static final Duration UPDATE_INTERVAL = Duration.ofMillis(5);
    /** Number of routes that have a label of their own in the metrics. */
    private static final int MAX_LABELS = 16;

    private static final String OTHER_ROUTES = "other";

    /** Counts of one share, in thousandths of a core times milliseconds. */
    private static final class Share {
        private final DecayingSum asked = DecayingSum.create(TIME_CONSTANT);
        private final DecayingSum granted = DecayingSum.create(TIME_CONSTANT);
        private final DecayingSum delayed = DecayingSum.create(SHORTAGE_TIME_CONSTANT);
        private double weight;
        private double fair;
        private double excess;
    }

    /** The shares of one service. */
    private static final class ServiceShares {
        private final Map<ShareKey, Share> shares = new HashMap<>();
        private boolean capacityShort;
        private long shortSinceNanos;
        private long updatedNanos;
        private boolean updated;
    }

    private final Map<ServiceName, ServiceShares> services = new HashMap<>();
    private final Set<RouteName> labelledRoutes = new HashSet<>();
    private final boolean enabled;
    private final AvailabilityZone zone;
    private final EventLog events;
    private final DecisionCounter counter;

    private CapacityShares(boolean enabled, AvailabilityZone zone, EventLog events, DecisionCounter counter) {
        this.enabled = enabled;
        this.zone = zone;
        this.events = events;
        this.counter = counter;
    }

    /**
     * Creates shares of which nobody has asked for any.
     *
     * @param zone zone of the entry that accepts the jobs, which stands for that of their callers
     * @param events receives an event when capacity becomes short and when it suffices again
     * @param counter counts what was asked, granted, lent and rejected, by route
     * @return the shares
     */
    public static CapacityShares create(AvailabilityZone zone, EventLog events, DecisionCounter counter) {
        return new CapacityShares(true, zone, events, counter);
    }

    /**
     * Returns shares that count nothing and let no job yield to another.
     *
     * @return the shares
     */
    public static CapacityShares disabled() {
        return new CapacityShares(false, AvailabilityZone.of("none"), EventLog.none(), DecisionCounter.none());
    }

    /**
     * Returns whether shares decide who goes first; otherwise priorities alone do.
     *
     * @param service service whose capacity is asked for
     * @param nowNanos current monotonic time
     * @return true while its capacity is short
     */
    public boolean isCapacityShort(ServiceName service, long nowNanos) {
        return enabled && updatedShares(service, nowNanos).capacityShort;
    }

    /**
     * Counts a job that was accepted.
     *
     * @param job the job
     * @param nowNanos current monotonic time
     */
    public void asked(BestEffortJob job, long nowNanos) {
        if (enabled) {
            share(job).asked.add(work(job), nowNanos);
            count("share_asked", job);
        }
    }

    /**
     * Counts a job that got capacity for all its tasks.
     *
     * @param job the job
     * @param nowNanos current monotonic time
     */
    public void granted(BestEffortJob job, long nowNanos) {
        if (enabled) {
            count(isOverShare(job, nowNanos) ? "share_lent" : "share_granted", job);
            share(job).granted.add(work(job), nowNanos);
        }
    }

    /**
     * Counts a job that did not get capacity immediately.
     *
     * @param job the job
     * @param nowNanos current monotonic time
     */
    public void delayed(BestEffortJob job, long nowNanos) {
        if (enabled) {
            share(job).delayed.add(work(job), nowNanos);
        }
    }

    /**
     * Counts a job that was rejected before any task of it started.
     *
     * @param job the job
     */
    public void rejected(BestEffortJob job) {
        if (enabled) {
            count("share_rejected", job);
        }
    }

    /**
     * Returns whether a job must let those of other shares go first.
     *
     * @param job the job
     * @param nowNanos current monotonic time
     * @return true if capacity is short and the job's share has more of it than its part
     */
    public boolean isOverShare(BestEffortJob job, long nowNanos) {
        return excess(job, nowNanos) > 0;
    }

    /**
     * Returns which part of each worker a job must leave free for other shares.
     *
     * @param job the job
     * @param nowNanos current monotonic time
     * @return part of the worker's cores, from 0 to {@link #MAX_RESERVED_SHARE}; 0 unless the job's share is over its part
     */
    public double reservedShare(BestEffortJob job, long nowNanos) {
        return Math.min(MAX_RESERVED_SHARE, RESERVED_SHARE_PER_EXCESS * excess(job, nowNanos));
    }

    /**
     * Returns what the share of a job has got lately in relation to its weight; the waiting job with the least goes
     * first.
     *
     * @param job the job
     * @param nowNanos current monotonic time
     * @return the amount, comparable within one service
     */
    public double weightedGrant(BestEffortJob job, long nowNanos) {
        Share share = share(job);
        return share.granted.value(nowNanos) / share.weight;
    }

    /**
     * Returns when a rejected caller should come back: when its share has worked off what it asked for in vain.
     *
     * @param job the rejected job
     * @param nowNanos current monotonic time
     * @return time from {@link #MIN_RETRY_AFTER} to {@link #MAX_RETRY_AFTER}, in whole seconds
     */
    public Duration retryAfter(BestEffortJob job, long nowNanos) {
        if (!isCapacityShort(job.route().service(), nowNanos)) {
            return MIN_RETRY_AFTER;
        }
        Share share = share(job);
        double granted = Math.max(1, share.granted.value(nowNanos));
        double missing = share.asked.value(nowNanos) - granted;
        long seconds = (long) Math.ceil(TIME_CONSTANT.toMillis() * missing / granted / 1000);
        return Duration.ofSeconds(
                Math.max(MIN_RETRY_AFTER.toSeconds(), Math.min(MAX_RETRY_AFTER.toSeconds(), seconds)));
    }

    /**
     * Notices that capacity is no longer short although no job asks for any, and forgets shares that nobody uses.
     *
     * @param nowNanos current monotonic time
     */
    public void tick(long nowNanos) {
        services.keySet().forEach(service -> updatedShares(service, nowNanos)
                .shares
                .values()
                .removeIf(share -> share.asked.value(nowNanos) < 1 && share.granted.value(nowNanos) < 1));
        services.values().removeIf(service -> service.shares.isEmpty() && !service.capacityShort);
    }

    /**
     * Returns the shares of all services that were asked for lately.
     *
     * @param nowNanos current monotonic time
     * @return one status for each share, ordered by service and route
     */
    public List<ShareStatus> statuses(long nowNanos) {
        List<ShareStatus> statuses = new ArrayList<>();
        services.keySet().forEach(service -> {
            ServiceShares updated = updatedShares(service, nowNanos);
            updated.shares.forEach((key, share) -> statuses.add(new ShareStatus(
                    service,
                    key,
                    updated.capacityShort,
                    share.weight,
                    millicores(share.asked.value(nowNanos)),
                    millicores(share.granted.value(nowNanos)),
                    millicores(share.fair))));
        });
        statuses.sort(
                Comparator.comparing((ShareStatus status) -> status.service().value())
                        .thenComparing(status -> status.key().route().value()));
        return statuses;
    }

    /** Returns by how much the share of a job exceeds its part, as a multiple of that; 0 unless capacity is short. */
    private double excess(BestEffortJob job, long nowNanos) {
        if (!isCapacityShort(job.route().service(), nowNanos)) {
            return 0;
        }
        return share(job).excess;
    }

    private ServiceShares updatedShares(ServiceName serviceName, long nowNanos) {
        ServiceShares service = services.computeIfAbsent(serviceName, name -> new ServiceShares());
        if (service.updated && nowNanos - service.updatedNanos < UPDATE_INTERVAL.toNanos()) {
            return service;
        }
        service.updated = true;
        service.updatedNanos = nowNanos;
        double asked = 0;
        double granted = 0;
        double delayed = 0;
        Map<ShareKey, FairShares.Demand> demands = new HashMap<>();
        for (Map.Entry<ShareKey, Share> entry : service.shares.entrySet()) {
            Share share = entry.getValue();
            double askedByShare = share.asked.value(nowNanos);
            asked += askedByShare;
            granted += share.granted.value(nowNanos);
            delayed += rate(share.delayed.value(nowNanos), SHORTAGE_TIME_CONSTANT);
            demands.put(entry.getKey(), new FairShares.Demand(askedByShare, share.weight));
        }
        FairShares.divide(demands, granted)
                .forEach((key, fair) -> setFairShare(service.shares.get(key), fair, nowNanos));
        double threshold = service.capacityShort ? SHORTAGE_END_THRESHOLD : SHORTAGE_THRESHOLD;
        boolean capacityShort = delayed > threshold * rate(asked, TIME_CONSTANT);
        setShort(serviceName, service, capacityShort, asked, granted, nowNanos);
        return service;
    }

    private static void setFairShare(Share share, double fair, long nowNanos) {
        boolean asksForMore = fair < (1 - TOLERANCE) * share.asked.value(nowNanos);
        double excess = share.granted.value(nowNanos) / Math.max(1, fair) - 1;
        share.fair = fair;
        share.excess = asksForMore && excess > TOLERANCE ? excess : 0;
    }

    private void setShort(
            ServiceName serviceName,
            ServiceShares service,
            boolean capacityShort,
            double asked,
            double granted,
            long nowNanos) {
        if (capacityShort == service.capacityShort) {
            return;
        }
        service.capacityShort = capacityShort;
        if (capacityShort) {
            service.shortSinceNanos = nowNanos;
            events.write(
                    Event.CAPACITY_SHORT,
                    serviceName,
                    service.shares.size(),
                    Math.round(millicores(asked)),
                    Math.round(millicores(granted)));
        } else {
            events.write(
                    Event.CAPACITY_SUFFICIENT,
                    serviceName,
                    Duration.ofNanos(nowNanos - service.shortSinceNanos).toMillis());
        }
    }

    private Share share(BestEffortJob job) {
        ServiceShares service = services.computeIfAbsent(job.route().service(), name -> new ServiceShares());
        Share share = service.shares.computeIfAbsent(new ShareKey(job.route().name(), zone), key -> {
            service.updated = false;
            return new Share();
        });
        share.weight = Math.pow(WEIGHT_RATIO, -job.route().priority());
        return share;
    }

    private void count(String decision, BestEffortJob job) {
        RouteName route = job.route().name();
        boolean labelled =
                labelledRoutes.contains(route) || (labelledRoutes.size() < MAX_LABELS && labelledRoutes.add(route));
        counter.increment(decision, labelled ? route.value() : OTHER_ROUTES);
    }

    private static double work(BestEffortJob job) {
        return job.taskCount()
                * (double) job.estimate().toMillis()
                * job.resourcesPerTask().cpuMillicores();
    }

    private static double millicores(double sum) {
        return rate(sum, TIME_CONSTANT);
    }

    private static double rate(double sum, Duration timeConstant) {
        return sum / timeConstant.toMillis();
    }
}
