package org.gypsumflow.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.gypsumflow.daemon.Daemon;
import org.gypsumflow.daemon.Main;
import org.gypsumflow.daemon.SettingsReader;
import org.gypsumflow.standin.LoopbackCluster;
import org.gypsumflow.standin.LoopbackCluster.RunningDaemon;

/**
 * Runs both daemons through a few jobs against stand-ins and ends, so that the Java runtime can write an archive of the
 * classes that they use; a daemon that starts from the archive needs about half of the processor time.
 */
public final class Rehearsal {
    private static final Duration RUN_TIME = Duration.ofMillis(30);
    private static final Duration PAUSE = Duration.ofMillis(100);
    private static final int MOST_PAUSES = 100;
    private static final int JOBS = 20;
    private static final int OK = 200;

    private Rehearsal() {}

    /**
     * Runs the rehearsal.
     *
     * @param arguments none are needed
     */
    public static void main(String[] arguments) {
        LoopbackCluster site = LoopbackCluster.start(RUN_TIME, Rehearsal::start);
        site.putRoutes(1);
        site.reportWorker("ready").join();
        boolean ready = false;
        for (int pause = 0; pause < MOST_PAUSES && !ready; pause++) {
            after(PAUSE);
            ready = site.getReadiness().join().status() == OK;
        }
        after(PAUSE);
        after(PAUSE);
        int answered = 0;
        for (int job = 0; job < JOBS; job++) {
            answered += site.submitJob(String.format("%016x", job), 4).join().status() == OK ? 1 : 0;
        }
        System.out.println(answered + " of " + JOBS + " jobs were answered");
        System.exit(answered == JOBS ? 0 : 1);
    }

    private static RunningDaemon start(String settings) {
        checkAsAFile(settings);
        Daemon daemon = Daemon.start(SettingsReader.parse(settings));
        return new RunningDaemon(daemon.httpPort(), daemon::abort);
    }

    /** Goes through the command line too, whose classes belong into the archive as well. */
    private static void checkAsAFile(String settings) {
        try {
            Path file = Files.createTempFile("rehearsal", ".toml");
            Files.writeString(file, settings);
            Main.check(file);
            Files.delete(file);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static void after(Duration pause) {
        Executor later = CompletableFuture.delayedExecutor(pause.toMillis(), TimeUnit.MILLISECONDS);
        CompletableFuture.runAsync(() -> {}, later).join();
    }
}
