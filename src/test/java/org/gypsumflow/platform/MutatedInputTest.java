package org.gypsumflow.platform;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.gypsumflow.http.HttpClient.ClientResponse;
import org.gypsumflow.log.CompactedLog.KeyedRecord;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.world.MutatedBytes;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What callers, workers and other writers of the store may send: the readers accept it or reject it, and go on. */
public final class MutatedInputTest {
    private static final long FIRST_SEED = 1;
    private static final int INPUTS = 3000;

    private static final Route ROUTE = new Route(
            RouteName.of("r"), "", "/", ServiceName.of("s"), 0, 1, 1.6, Duration.ofMillis(60), Duration.ofSeconds(1));

    private static final String ROUTES =
            "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/p/\",\"timeoutMs\":1500,"
                    + "\"targetLatencyMs\":60,\"priority\":1,\"service\":\"s\",\"maxAttempts\":2,\"stretch\":1.6}],"
                    + "\"services\":[{\"name\":\"s\",\"enforcesCapacity\":true}]}";

    @DataProvider
    public Object[][] readers() {
        Consumer<byte[]> job = body -> BestEffortJobParser.parse(JobId.of("5c0e7a21d94b36f8"), ROUTE, 1, body);
        Consumer<byte[]> report = body -> WorkerReportResource.parse("worker", Json.parseObject(body));
        Consumer<byte[]> listing =
                body -> HttpWorkerClient.parseTaskListing(Json.parseObject(body), (event, details) -> {});
        Consumer<byte[]> startResponse = body -> HttpWorkerClient.parseStartResponse(new ClientResponse(409, body));
        Consumer<byte[]> routes = body -> OperatorRecordReader.parseRoutes(Json.parseObject(body));
        return new Object[][] {
            {
                "job",
                "{\"spec\":\"x\",\"bestEffort\":true,\"steps\":[{\"count\":4,\"cpu\":3100,\"memMb\":64,"
                        + "\"estimateMs\":90}]}",
                job
            },
            {
                "report",
                "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,"
                        + "\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":16000,\"memMb\":3276,\"gpu\":0},"
                        + "\"labels\":[\"a\",\"r1-3\"],\"clockMs\":482113,\"sequence\":4,\"born\":1783700584048}",
                report
            },
            {
                "task listing",
                "{\"clockMs\":482113,\"born\":1783700584048,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"0b\",41]],"
                        + "\"finished\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}",
                listing
            },
            {"start response", "{\"clockMs\":482113,\"reason\":\"fence\"}", startResponse},
            {"routes", ROUTES, routes},
        };
    }

    // Guards against a message that ends more than itself: each caller of these readers catches only rejections.
    @Test(dataProvider = "readers")
    public void anInputIsAcceptedOrRejectedAsInvalid(String name, String valid, Consumer<byte[]> reader) {
        List<String> failures = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + INPUTS; seed++) {
            byte[] input = MutatedBytes.draw(valid.getBytes(StandardCharsets.UTF_8), new Random(seed));
            try {
                reader.accept(input);
            } catch (ValidationException rejected) {
                // The expected answer to most inputs.
            } catch (RuntimeException | Error failure) {
                failures.add("seed " + seed + ": " + failure);
            }
        }
        assertEquals(failures, List.of(), name);
    }

    // Guards against routes that are lost because another writer's record could not be read.
    @Test
    public void theRoutesStayInForceWhateverRecordFollowsThem() {
        List<ShareRoutingState> received = new ArrayList<>();
        OperatorRecordReader reader = OperatorRecordReader.create(received::add, (event, details) -> {});
        reader.replaceAll(new Page(List.of(record("config", ROUTES.getBytes(StandardCharsets.UTF_8), 1)), 2));
        byte[] withoutVersion = ROUTES.replace("\"version\":7,", "").getBytes(StandardCharsets.UTF_8);
        for (long seed = FIRST_SEED; seed < FIRST_SEED + INPUTS; seed++) {
            byte[] odd = MutatedBytes.draw(Arrays.copyOf(withoutVersion, 40), new Random(seed));
            reader.applyUpdates(new Page(List.of(record("config", odd, 2 + seed)), 3 + seed));
            assertEquals(received.get(received.size() - 1).table().version(), 7, "seed " + seed);
        }
    }

    private static KeyedRecord record(String key, byte[] value, long offset) {
        return new KeyedRecord(key, value, offset);
    }
}
