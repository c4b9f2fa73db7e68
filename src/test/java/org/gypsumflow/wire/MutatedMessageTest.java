package org.gypsumflow.wire;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.ContactsChanged;
import org.gypsumflow.model.BestEffortMessage.DelegateJob;
import org.gypsumflow.model.BestEffortMessage.DelegationEnded;
import org.gypsumflow.model.BestEffortMessage.EntryLoad;
import org.gypsumflow.model.BestEffortMessage.Introduce;
import org.gypsumflow.model.BestEffortMessage.JobList;
import org.gypsumflow.model.BestEffortMessage.MemberHeartbeat;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.wire.generated.Envelope;
import org.gypsumflow.world.MutatedBytes;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Messages of another member, perhaps of another version or damaged: they are read or rejected. */
public final class MutatedMessageTest {
    private static final long FIRST_SEED = 1;
    private static final int INPUTS = 3000;
    private static final JobId JOB = JobId.of("5c0e7a21d94b36f8");
    private static final Resources RESOURCES = Resources.of(3100, 64, 0);

    @DataProvider
    public Object[][] messages() {
        Member member =
                new Member(MemberName.of("edge"), Member.Role.ENTRY, AvailabilityZone.of("sofia"), "127.0.0.1", 7101);
        BestEffortTaskId task = BestEffortTaskId.of(JOB, 3);
        WorkerStatus status = new WorkerStatus(
                true, "s", "z", RESOURCES, RESOURCES, RESOURCES, RESOURCES, Duration.ofMillis(90), 1, 0, 0, 2);
        return new Object[][] {
            {new Introduce(member, Incarnation.of("life"))},
            {MemberHeartbeat.withoutEcho(77)},
            {
                new AssignTasks(List.of(new TaskAssignment(
                        task,
                        RunNumber.of(1),
                        "x",
                        RouteName.of("route"),
                        RESOURCES,
                        Duration.ofMillis(90),
                        Duration.ofMillis(500),
                        Duration.ofMillis(60),
                        true)))
            },
            {
                new AgentReport(
                        List.of(new RunResult(task, RunNumber.of(1), RunOutcome.DONE, Duration.ofMillis(88))), status)
            },
            {new JobList(5, List.of(JOB))},
            {new EntryLoad(Duration.ofMillis(7), 20, 0.5, 1, OptionalInt.of(2), Duration.ofMillis(90))},
            {
                new DelegateJob(
                        JOB,
                        RouteName.of("route"),
                        3,
                        "x",
                        4,
                        RESOURCES,
                        Duration.ofMillis(86),
                        Duration.ofMillis(1500),
                        Duration.ofMillis(2),
                        AvailabilityZone.of("sofia"))
            },
            {DelegationEnded.refused(JOB, "reason")},
            {new ContactsChanged(List.of(MemberName.of("a")), List.of(MemberName.of("b")))},
        };
    }

    // Guards against a thread that ends: the transport closes the connection for an exception, not for an error.
    @Test(dataProvider = "messages")
    public void aMessageIsReadOrRejected(BestEffortMessage message) {
        byte[] valid = MessageCodec.encode(message).toByteArray();
        List<String> failures = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + INPUTS; seed++) {
            try {
                MessageCodec.decode(Envelope.parseFrom(MutatedBytes.draw(valid, new Random(seed))));
            } catch (InvalidProtocolBufferException | ValidationException | IllegalArgumentException rejected) {
                // The expected answer to most inputs.
            } catch (RuntimeException | Error failure) {
                failures.add("seed " + seed + ": " + failure);
            }
        }
        assertEquals(failures, List.of(), message.getClass().getSimpleName());
    }
}
