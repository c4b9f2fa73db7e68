package org.gypsumflow.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.gypsumflow.http.HttpCaller.Answer;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.TaskEnding;
import org.gypsumflow.model.TaskName;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.model.WorkerCall.Account;
import org.gypsumflow.model.WorkerCall.Finished;
import org.gypsumflow.model.WorkerCall.Running;
import org.gypsumflow.model.WorkerCall.StartReply;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class HttpWorkerTest {
    private static final TaskName TASK = TaskName.of(JobId.of("5c0e7a21d94b36f8"), 9);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @DataProvider
    public Object[][] answersToStarts() {
        return new Object[][] {
            {200, "{\"clockMs\":5}", StartReply.STARTED},
            {409, "{\"clockMs\":5,\"reason\":\"fence\"}", StartReply.FENCED},
            {409, "{\"clockMs\":5,\"reason\":\"old\"}", StartReply.OLD_RUN},
            {409, "{\"clockMs\":5,\"reason\":\"late\"}", StartReply.TOO_LATE},
            {409, "{\"clockMs\":5,\"reason\":\"room\"}", StartReply.NO_ROOM},
            {409, "{\"clockMs\":5,\"reason\":\"mood\"}", StartReply.REFUSED},
            {400, "", StartReply.REFUSED},
            {429, "{}", StartReply.REFUSED},
            {503, "", StartReply.REFUSED},
        };
    }

    @Test(dataProvider = "answersToStarts")
    public void eachAnswerToAStartHasOneMeaning(int status, String body, StartReply reply) {
        assertEquals(HttpWorker.startAnswer(new Answer(status, bytes(body))).reply(), reply);
    }

    @Test
    public void anAccountIsReadWhole() {
        Account account = HttpWorker.account(Json.object(bytes("{\"clockMs\":482113,\"born\":7,\"running\":["
                + "[\"5c0e7a21d94b36f8.0.0.9\",2,\"\",41,3]],\"finished\":[[58,\"5c0e7a21d94b36f8.0.0.9\",1,"
                + "\"stopped\",\"\"],[59,\"5c0e7a21d94b36f8.0.0.9\",3,\"done\",\"\"]]}")));
        assertEquals(account.bornMillis(), 7);
        assertEquals(account.running(), List.of(new Running(TASK, RunNumber.of(2), 41)));
        assertEquals(
                account.finished(),
                List.of(
                        new Finished(58, TASK, RunNumber.of(1), TaskEnding.LOST),
                        new Finished(59, TASK, RunNumber.of(3), TaskEnding.DONE)));
    }

    @Test
    public void anAccountWithoutAClockIsRefused() {
        assertThrows(ValidationException.class, () -> HttpWorker.account(Json.object(bytes("{\"running\":[]}"))));
    }
}
