package org.gypsumflow.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gypsumflow.model.Attempt;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.ClaimNonce;
import org.gypsumflow.model.CommandMessage;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.EntryName;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.JobRequest;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.QueryMessage;
import org.gypsumflow.model.ReportMessage;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestId;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.SubmissionDigest;
import org.gypsumflow.model.SubmissionKey;
import org.gypsumflow.model.TaskId;
import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.TaskStatus;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.wire.generated.Envelope;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class MessageCodecTest {
    private static final Incarnation INCARNATION = Incarnation.of("life");
    private static final AvailabilityZone SOFIA = AvailabilityZone.of("sofia");
    private static final ServiceName SERVICE = ServiceName.of("bookings");
    private static final SubmissionDigest DIGEST = SubmissionDigest.of(-1, 2);
    private static final TaskId TASK = TaskId.of(DIGEST, 3);
    private static final RequestId REQUEST = RequestId.of(9);
    private static final EntryAddress ENTRY =
            EntryAddress.of(EntryName.of("entry"), INCARNATION, SOFIA, "127.0.0.1", 7101);
    private static final TaskOutcome OUTCOME = TaskOutcome.completed("result", WorkerName.of("worker"));

    @DataProvider
    public static Object[][] messages() {
        JobRequest job = JobRequest.of(
                SubmissionKey.of(Caller.of("ruseva"), "key"), SERVICE, List.of("a", ""), Duration.ofSeconds(2));
        Configuration configuration = new Configuration(
                Set.of(SOFIA),
                Set.of(SERVICE),
                Set.of(WorkerName.of("worker")),
                Map.of(Caller.of("ruseva"), 5),
                Map.of("rule", "on"));
        return new Object[][] {
            {new CommandMessage.AnnounceEntry(ENTRY)},
            {new CommandMessage.AnnounceAgent(WorkerName.of("worker"), INCARNATION, SOFIA, 8)},
            {new CommandMessage.AgentHeartbeat(-5, ConfigurationVersion.of(7), "bookings", 3, 4, true)},
            {new CommandMessage.PeerHeartbeat(5, ConfigurationVersion.of(7), false, Set.of(SOFIA))},
            {new CommandMessage.ReportDemand(180)},
            {
                new CommandMessage.StartTask(
                        TASK,
                        Attempt.of(2),
                        INCARNATION,
                        INCARNATION,
                        SERVICE,
                        "payload",
                        Duration.ofSeconds(1),
                        TraceParent.of("00-1"))
            },
            {new CommandMessage.ResolveTask(TASK, Attempt.of(2), INCARNATION, INCARNATION)},
            {new CommandMessage.ForwardJob(REQUEST, job, ClaimNonce.of(1, -2), TraceParent.NONE)},
            {new CommandMessage.CancelJob(REQUEST, DIGEST)},
            {new CommandMessage.ApplyConfiguration(ConfigurationVersion.of(7), configuration)},
            {new QueryMessage.FindTasks(REQUEST, DIGEST)},
            {new ReportMessage.HeartbeatReply(1, ConfigurationVersion.of(2), -1, 3, List.of(ENTRY), true)},
            {new ReportMessage.TaskReport(TASK, Attempt.FIRST, INCARNATION, TaskStatus.FINISHED, OUTCOME)},
            {new ReportMessage.TaskReport(TASK, Attempt.FIRST, INCARNATION, TaskStatus.RUNNING, null)},
            {
                new ReportMessage.FindTasksReply(
                        REQUEST, List.of(new ReportMessage.KnownTask(3, TaskStatus.FINISHED, OUTCOME)))
            },
            {new ReportMessage.JobReport(REQUEST, JobOutcome.aggregate(List.of(OUTCOME, TaskOutcome.notRun("why"))))},
            {new ReportMessage.JobError(REQUEST, RequestError.mayHaveRun(ErrorCode.TIMEOUT, "late"))},
        };
    }

    @Test(dataProvider = "messages")
    public void everyMessageArrivesAsItWasSent(Message message) {
        assertEquals(MessageCodec.decode(MessageCodec.encode(message)), message);
    }

    @Test
    public void anEmptyEnvelopeIsRejected() {
        expectThrows(IllegalArgumentException.class, () -> MessageCodec.decode(Envelope.getDefaultInstance()));
    }
}
