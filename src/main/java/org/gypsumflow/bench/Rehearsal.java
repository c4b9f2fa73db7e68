package org.gypsumflow.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.gypsumflow.command.balancing.JobBalancer;
import org.gypsumflow.command.balancing.PeerLoad;
import org.gypsumflow.daemon.Daemon;
import org.gypsumflow.daemon.Main;
import org.gypsumflow.daemon.SettingsReader;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.DelegateJob;
import org.gypsumflow.model.BestEffortMessage.DelegationEnded;
import org.gypsumflow.model.BestEffortMessage.EntryLoad;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.standin.LoopbackCluster;
import org.gypsumflow.standin.LoopbackCluster.RunningDaemon;
import org.gypsumflow.wire.MessageCodec;

/**
 * Training run for class data sharing: runs both daemons through a few jobs against stand-ins and exits.
 *
 * <p>At exit, the Java runtime writes an archive of the classes that were used; a daemon that starts from the archive
 * needs about half of the CPU time.
 */
public final class Rehearsal {
    private static final Duration RUN_DURATION = Duration.ofMillis(30);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_POLLS = 100;
    private static final int JOBS = 20;
    private static final int OK = 200;
    /** Settings of the dispatch section that switch on parts whose classes are to get into the archive. */
    private static final String OPTIONAL_PARTS = "overload-control = true";

    private Rehearsal() {}

    /**
     * Runs the jobs and exits with 0 if each of them got HTTP status 200, else 1.
     *
     * @param arguments not used
     */
    public static void main(String[] arguments) {
        LoopbackCluster cluster = LoopbackCluster.start(RUN_DURATION, Rehearsal::start);
        cluster.putRoutes(1);
        cluster.reportWorker("ready").join();
        boolean ready = false;
        for (int poll = 0; poll < MAX_POLLS && !ready; poll++) {
            sleep(POLL_INTERVAL);
            ready = cluster.getReadiness().join().status() == OK;
        }
        sleep(POLL_INTERVAL);
        sleep(POLL_INTERVAL);
        int succeeded = 0;
        for (int job = 0; job < JOBS; job++) {
            succeeded +=
                    cluster.submitJob(String.format("%016x", job), 4).join().status() == OK ? 1 : 0;
        }
        rehearseBalancing();
        System.out.println(succeeded + " of " + JOBS + " jobs got HTTP status 200");
        System.exit(succeeded == JOBS ? 0 : 1);
    }

    /** Uses the messages that a cluster with one entry does not send. */
    private static void rehearseBalancing() {
        JobId job = JobId.of("00000000000000b1");
        Stream.of(
                        new EntryLoad(Duration.ZERO, 1, 0.5, 1, OptionalInt.of(1), Duration.ZERO),
                        new DelegateJob(
                                job,
                                RouteName.of("route"),
                                1,
                                "specification",
                                1,
                                Resources.of(1, 1, 0),
                                RUN_DURATION,
                                RUN_DURATION,
                                Duration.ZERO,
                                AvailabilityZone.of("zone")),
                        DelegationEnded.refused(job, "reason"))
                .forEach(message -> MessageCodec.decode(MessageCodec.encode(message)));
        JobBalancer balancer = JobBalancer.create();
        MemberName peer = MemberName.of("peer");
        balancer.ownLoadMeasured(Duration.ofSeconds(1), 1);
        balancer.loadReceived(peer, new PeerLoad(Duration.ZERO, 0, Duration.ZERO, true), 0);
        balancer.choosePeer(0, new SplittableRandom());
    }

    private static RunningDaemon start(String clusterSettings) {
        String settings = String.join("\n", clusterSettings, OPTIONAL_PARTS);
        checkSettingsFile(settings);
        Daemon daemon = Daemon.start(SettingsReader.parse(settings + "\njob-balancing = true"));
        return new RunningDaemon(daemon.httpPort(), daemon::abort);
    }

    /** Checks the settings as a file, as the command line does, so that its classes get into the archive too. */
    private static void checkSettingsFile(String settings) {
        try {
            Path file = Files.createTempFile("rehearsal", ".toml");
            Files.writeString(file, settings);
            Main.check(file);
            Files.delete(file);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static void sleep(Duration duration) {
        Executor later = CompletableFuture.delayedExecutor(duration.toMillis(), TimeUnit.MILLISECONDS);
        CompletableFuture.runAsync(() -> {}, later).join();
    }
}
