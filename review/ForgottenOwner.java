package review;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The channel of a job that runs for over 15 s is reset while a worker is late to carry out orders; the job is sent again. */
final class ForgottenOwner {
    private static final long RESET_AFTER_MILLIS = 16_500;
    private static final long RESEND_MILLIS = 1300;
    private static final int UNANSWERED_ORDERS = 3;
    private static final int TASKS = 16;
    private static final long TASK_MILLIS = 3600;
    private static final String PREFIX = "/jobs/";

    private ForgottenOwner() {}

    public static void main(String[] arguments) {
        Script.run(arguments, ForgottenOwner::play);
    }

    private static boolean play(Deployment system, boolean trouble) throws Exception {
        system.putRoutes(1, PREFIX);
        Deployment.Daemon owner = system.startEntry("entry-1", "sofia", system.store.port);
        Deployment.Daemon other = system.startEntry("entry-2", "burgas", system.store.port);
        WorkerStandIn late = system.startWorker("w-1", "sofia", 7000, system.store.port);
        system.awaitService(PREFIX, owner, other);
        TimeUnit.MILLISECONDS.sleep(3000);

        system.submit(owner, PREFIX, "5c0e7a21d94b36f7", TASKS, TASK_MILLIS, 60_000);
        TimeUnit.MILLISECONDS.sleep(100);
        String job = "5c0e7a21d94b36f8";
        String body = "{\"spec\":\"ms=" + TASK_MILLIS + "\",\"bestEffort\":true,\"steps\":[{\"count\":" + TASKS
                + ",\"cpu\":1000,\"memMb\":64,\"estimateMs\":" + TASK_MILLIS + "}]}";
        Socket channel = new Socket(InetAddress.getByName("127.0.0.1"), owner.port);
        OutputStream output = channel.getOutputStream();
        output.write(("POST " + PREFIX + job + " HTTP/1.1\r\nHost: " + Deployment.JOB_HOST
                        + "\r\nContent-Type: application/json\r\nDeadline-Ms: 60000\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
        system.record.add("client: POST " + PREFIX + job + " to entry-1, " + TASKS + " tasks of " + TASK_MILLIS + " ms");
        TimeUnit.MILLISECONDS.sleep(RESET_AFTER_MILLIS - 6000);
        system.record.add("an empty worker is added");
        system.startWorker("w-2", "burgas", 20_000, system.store.port);
        TimeUnit.MILLISECONDS.sleep(6000);
        if (trouble) {
            late.carryOutLate(job, UNANSWERED_ORDERS);
            system.record.add("the channel of the client is reset");
            channel.setSoLinger(true, 0);
            channel.close();
            TimeUnit.MILLISECONDS.sleep(RESEND_MILLIS);
            CompletableFuture<Integer> again = system.submit(other, PREFIX, job, TASKS, TASK_MILLIS, 30_000);
            again.get();
        }
        TimeUnit.MILLISECONDS.sleep(5000);
        boolean broken = false;
        List<WorkerStandIn.Run> runs = system.runsOf(job);
        for (WorkerStandIn.Run run : runs) {
            for (WorkerStandIn.Run second : runs) {
                if (run.task.equals(second.task)
                        && run.startedSeconds < second.startedSeconds
                        && second.startedSeconds < run.endedSeconds) {
                    broken = true;
                    system.record.add(String.format(
                            "TWICE: %s runs on %s until %.3f and on %s from %.3f",
                            run.task, run.worker, run.endedSeconds, second.worker, second.startedSeconds));
                }
            }
        }
        return broken;
    }
}
