package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests of processes whose standard output is a pipe that nobody reads, or that is read late. */
public final class UnreadLogTest {
    private static final int MAX_WAIT_SECONDS = 30;
    /** Shows that the lines have begun, of which there are far more than the pipe holds. */
    private static final int PIPE_FILLING_BYTES = 20_000;

    private static final int EXIT_CODE_OF_SIGTERM = 143;

    private Process process;

    /** Writes far more lines than a pipe and the buffer hold; if there are settings for a daemon, once that has started. */
    public static final class FloodingProcess {
        private static final int LINES_PER_EVENT = 40;
        private static final int START_SECONDS = 4;

        private FloodingProcess() {}

        /**
         * Runs the process.
         *
         * @param arguments options of the daemon; if there are none, the process exits after the last line
         */
        public static void main(String[] arguments) {
            if (arguments.length == 0) {
                flood();
                System.exit(0);
            }
            CompletableFuture.runAsync(
                    FloodingProcess::flood,
                    CompletableFuture.delayedExecutor(
                            START_SECONDS, TimeUnit.SECONDS, FloodingProcess::runDaemonThread));
            Main.main(arguments);
        }

        private static void runDaemonThread(Runnable action) {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            thread.start();
        }

        private static void flood() {
            EventLog log = new TinylogEventLog();
            Object[] details = new Object[10];
            Arrays.fill(details, "x".repeat(500));
            for (int line = 0; line < LINES_PER_EVENT; line++) {
                Arrays.stream(Event.values())
                        .filter(event -> event.level() == Event.Level.INFO)
                        .forEach(event -> log.write(event, details));
            }
        }
    }

    @AfterMethod
    public void endProcess() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    private void start(Class<?> mainClass, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:TieredStopAtLevel=1",
                "-Dtinylog.writer.level=info",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass.getName()));
        command.addAll(List.of(arguments));
        process = new ProcessBuilder(command).redirectErrorStream(true).start();
    }

    private boolean ends() throws InterruptedException {
        return process.waitFor(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    // Guards against an entry that hangs, answers nothing and keeps old routes, and an agent that stands still: each
    // thread that wrote a line waited for the reader of the log.
    @Test
    public void whoeverWritesLinesDoesNotWaitForTheReaderOfTheLog() throws Exception {
        start(FloodingProcess.class);
        assertTrue(ends());
        assertEquals(process.exitValue(), 0);
    }

    // Guards against a process that is killed at the end of its grace period since its last lines are not read.
    @Test
    public void aDaemonStopsWhenItIsToldToAlthoughNobodyReadsItsLog() throws Exception {
        Path settings = Files.createTempFile("unread-log", ".toml");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "role = \"entry\"",
                        "name = \"entry-1\"",
                        "zone = \"sofia\"",
                        "host = \"127.0.0.1\"",
                        "[dispatch]",
                        "store-address = \"127.0.0.1:1\"",
                        "callers-address = \"127.0.0.1:0\"",
                        "readiness-address = \"127.0.0.1:0\""));
        start(FloodingProcess.class, "--settings", settings.toString());
        for (int wait = 0; process.getInputStream().available() < PIPE_FILLING_BYTES; wait++) {
            assertTrue(wait < MAX_WAIT_SECONDS * 10, "the pipe fills up");
            TimeUnit.MILLISECONDS.sleep(100);
        }
        TimeUnit.SECONDS.sleep(1);
        // Process.destroy would close the pipe as well.
        process.toHandle().destroy();
        assertTrue(ends());
        assertEquals(process.exitValue(), EXIT_CODE_OF_SIGTERM);
        Files.delete(settings);
    }

    @Test
    public void theLastLineIsWrittenBeforeTheProcessEnds() throws Exception {
        start(Main.class, "--settings", "/does-not-exist.toml");
        assertTrue(ends());
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(output.contains("GF" + Event.BAD_SETTING.number()), output);
        assertEquals(process.exitValue(), Main.EXIT_INVALID_SETTING);
    }
}
