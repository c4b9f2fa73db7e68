package org.gypsumflow.standin;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Main class that runs a stand-in for the log or for a target as a process of its own. */
public final class Main {
    private static final int EXIT_USAGE_ERROR = 2;

    @Argument(metaVar = "log|target", required = true, usage = "which stand-in to start")
    private String kind;

    @Option(name = "--port", usage = "TCP port of the log, 0 for a free one")
    private int port;

    @Option(name = "--delay-millis", usage = "how long a synced write of the log takes")
    private int delayMillis = 4;

    @Option(name = "--retention-seconds", usage = "how long the log keeps records")
    private int retentionSeconds = 3600;

    @Option(name = "--agent", usage = "URL of the agent beside the target")
    private String agent;

    @Option(name = "--service", usage = "service of the target")
    private String service;

    @Option(name = "--worker", usage = "worker of the target")
    private String worker;

    @Option(name = "--zone", usage = "availability zone of the target")
    private String zone;

    @Option(name = "--journal", usage = "file that gets one line for each start")
    private Path journal;

    private Main() {}

    /**
     * Runs a stand-in until the process is killed; exits with code 2 if an option is invalid.
     *
     * @param arguments {@code log} or {@code target}, and options
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        Main options = new Main();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException invalid) {
            System.err.println(invalid.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_USAGE_ERROR);
        }
        options.start();
        new CountDownLatch(1).await();
    }

    private void start() {
        if (kind.equals("log")) {
            LogStandIn.start(port, Duration.ofMillis(delayMillis), Duration.ofSeconds(retentionSeconds));
            return;
        }
        TargetStandIn.start(WorkerName.of(worker), AvailabilityZone.of(zone), journal)
                .announceTo(agent, ServiceName.of(service));
    }
}
