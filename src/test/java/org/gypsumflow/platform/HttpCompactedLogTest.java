package org.gypsumflow.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.log.CompactedLog;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.ValidationException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class HttpCompactedLogTest {
    private final List<byte[]> appended = new ArrayList<>();
    private final List<Event> logged = new CopyOnWriteArrayList<>();
    private volatile CompletableFuture<ServerResponse> response;
    private GrizzlyHttpServer store;
    private HttpClient httpClient;
    private CompactedLog log;

    @BeforeMethod
    public void startStore() {
        appended.clear();
        logged.clear();
        store = GrizzlyHttpServer.create("127.0.0.1", 0, 1, (event, details) -> {});
        store.setDefaultHandler(request -> {
            appended.add(request.body());
            return response;
        });
        httpClient = HttpClient.create();
        log = HttpCompactedLog.create(httpClient, "127.0.0.1:" + store.start(), (event, details) -> logged.add(event));
    }

    @AfterMethod
    public void stopStore() {
        httpClient.close();
        store.close();
    }

    private static ServerResponse binaryResponse(int status, byte[] body) {
        return ServerResponse.text(status, "").withBody(body);
    }

    private static byte[] page(String... records) {
        ByteBuffer body = ByteBuffer.allocate(1000);
        body.putLong(9).putLong(3);
        for (String record : records) {
            byte[] bytes = record.getBytes(StandardCharsets.UTF_8);
            body.putInt(bytes.length + 1).put((byte) record.indexOf('=')).put(bytes);
        }
        byte[] used = new byte[body.position()];
        body.flip().get(used);
        return used;
    }

    @Test
    public void aPageIsReadWithTheKeysAndOffsetsOfItsRecords() {
        response = CompletableFuture.completedFuture(binaryResponse(200, page("a=1", "bb=")));
        Page page = log.read("keyed.x", 5, Duration.ZERO).join();
        assertEquals(page.endOffset(), 7);
        assertEquals(page.records().get(0).key(), "a");
        assertEquals(new String(page.records().get(0).value(), StandardCharsets.UTF_8), "=1");
        assertEquals(page.records().get(1).offset(), 6);
    }

    @Test
    public void aReadOfDeletedRecordsFailsWithExpiredException() {
        response = CompletableFuture.completedFuture(
                binaryResponse(410, "{\"first\":8}".getBytes(StandardCharsets.UTF_8)));
        CompletionException failure =
                expectThrows(CompletionException.class, () -> log.read("keyed.x", 0, Duration.ZERO)
                        .join());
        assertTrue(failure.getCause() instanceof CompactedLog.ExpiredException);
    }

    @DataProvider
    public Object[][] errorStatuses() {
        return new Object[][] {{403}, {409}, {412}, {429}, {503}, {507}};
    }

    @Test(dataProvider = "errorStatuses")
    public void aWriteThatTheStoreRejectsFails(int status) {
        response = CompletableFuture.completedFuture(binaryResponse(status, new byte[0]));
        assertThrows(CompletionException.class, () -> log.put("keyed.x", "k", new byte[] {1})
                .join());
    }

    @Test
    public void aWriteSendsTheLengthTheKeyAndTheValue() {
        response = CompletableFuture.completedFuture(binaryResponse(200, new byte[0]));
        log.put("keyed.x", "k", new byte[] {7}).join();
        assertEquals(appended.get(0), new byte[] {0, 0, 0, 3, 1, 'k', 7});
    }

    @Test
    public void theLatestRecordOfAKeyIsReadWithItsPagesEnd() {
        response = CompletableFuture.completedFuture(ServerResponse.json(
                200,
                java.util.Map.of(
                        "items",
                        List.of(java.util.Map.of("key", "a", "value", "AQ==", "offset", 3)),
                        "more",
                        false,
                        "end",
                        12)));
        Page page = log.readLatestByKey("keyed.x").join();
        assertEquals(page.endOffset(), 12);
        assertEquals(page.records().get(0).value(), new byte[] {1});
    }

    private static byte[] concatenated(byte[] first, byte[] second) {
        return ByteBuffer.allocate(first.length + second.length)
                .put(first)
                .put(second)
                .array();
    }

    // Guards against a process that follows the store no longer: another writer appended a record without content.
    @Test
    public void aRecordWithoutContentIsSkippedAndTheOthersHold() {
        byte[] body = concatenated(page("a=1"), new byte[] {0, 0, 0, 0, 0, 0, 0, 3, 1, 'b', 7});
        response = CompletableFuture.completedFuture(binaryResponse(200, body));
        Page page = log.read("x", 5, Duration.ZERO).join();
        assertEquals(page.endOffset(), 8);
        assertEquals(
                page.records().stream()
                        .map(record -> record.key() + record.offset())
                        .toList(),
                List.of("a5", "b7"));
        assertEquals(logged, List.of(Event.MESSAGE_UNREADABLE));
    }

    // Guards against a record under a key that its writer did not mean: the length of the key exceeded the record.
    @Test
    public void aRecordWithAKeyLongerThanItselfIsSkippedAndTheOthersHold() {
        byte[] body = concatenated(page("a=1"), new byte[] {0, 0, 0, 2, (byte) 200, 'b', 0, 0, 0, 3, 1, 'c', 7});
        response = CompletableFuture.completedFuture(binaryResponse(200, body));
        Page page = log.read("x", 5, Duration.ZERO).join();
        assertEquals(page.endOffset(), 8);
        assertEquals(
                page.records().stream()
                        .map(record -> record.key() + record.offset())
                        .toList(),
                List.of("a5", "c7"));
        assertEquals(logged, List.of(Event.MESSAGE_UNREADABLE));
    }

    @DataProvider
    public Object[][] brokenTails() {
        return new Object[][] {
            {new byte[] {-1, -1, -1, -1}},
            {new byte[] {-128, 0, 0, 0, 1, 'b', 7}},
            {new byte[] {127, -1, -1, -1, 1, 'b', 7}},
            {new byte[] {0, 0, 0, 4, 1, 'b', 7}},
            {new byte[] {0, 0}},
        };
    }

    // Guards against a record that is taken for whole although its end is missing, and against a page that is lost.
    @Test(dataProvider = "brokenTails")
    public void aPageThatEndsWithinARecordHoldsTheRecordsBeforeIt(byte[] tail) {
        response = CompletableFuture.completedFuture(binaryResponse(200, concatenated(page("a=1"), tail)));
        Page page = log.read("x", 5, Duration.ZERO).join();
        assertEquals(page.endOffset(), 6);
        assertEquals(page.records().size(), 1);
    }

    @Test(dataProvider = "brokenTails")
    public void aPageThatBeginsWithABrokenRecordFails(byte[] tail) {
        response = CompletableFuture.completedFuture(binaryResponse(200, concatenated(page(), tail)));
        CompletionException failure = expectThrows(
                CompletionException.class, () -> log.read("x", 5, Duration.ZERO).join());
        assertTrue(failure.getCause() instanceof ValidationException);
    }

    @DataProvider
    public Object[][] oddItems() {
        return new Object[][] {
            {"{\"key\":\"b\",\"value\":\"*not base64*\",\"offset\":4}"},
            {"{\"key\":\"b\",\"value\":7,\"offset\":4}"},
            {"{\"value\":\"AQ==\",\"offset\":4}"},
            {"{\"key\":7,\"value\":\"AQ==\",\"offset\":4}"},
            {"{\"key\":\"b\",\"value\":\"AQ==\"}"},
            {"{\"key\":\"b\",\"value\":\"AQ==\",\"offset\":-1}"},
            {"{\"key\":\"b\",\"value\":\"AQ==\",\"offset\":18446744073709551620}"},
            {"7"},
        };
    }

    // Guards against a process that never reads the store: one of the newest records could not be decoded.
    @Test(dataProvider = "oddItems")
    public void anOddItemAmongTheLatestIsSkippedAndTheOthersHold(String item) {
        String items = "{\"key\":\"a\",\"value\":\"AQ==\",\"offset\":3}," + item
                + ",{\"key\":\"c\",\"value\":\"AQ==\",\"offset\":5}";
        response = CompletableFuture.completedFuture(binaryResponse(
                200, ("{\"items\":[" + items + "],\"more\":false,\"end\":12}").getBytes(StandardCharsets.UTF_8)));
        Page page = log.readLatestByKey("x").join();
        assertEquals(page.endOffset(), 12);
        assertEquals(
                page.records().stream()
                        .map(record -> record.key() + record.offset())
                        .toList(),
                List.of("a3", "c5"));
        assertEquals(logged, List.of(Event.MESSAGE_UNREADABLE));
    }

    @DataProvider
    public Object[][] oddLatestPages() {
        return new Object[][] {
            {"{\"items\":[],\"more\":false}"},
            {"{\"items\":[],\"end\":18446744073709551628}"},
            {"{\"items\":[],\"end\":-1}"},
            {"{\"items\":7,\"end\":12}"},
            {"{\"items\":[],\"more\":true,\"end\":12}"},
            {"[".repeat(100_000)},
        };
    }

    @Test(dataProvider = "oddLatestPages")
    public void anOddPageOfTheLatestRecordsFails(String body) {
        response = CompletableFuture.completedFuture(binaryResponse(200, body.getBytes(StandardCharsets.UTF_8)));
        CompletionException failure = expectThrows(
                CompletionException.class, () -> log.readLatestByKey("x").join());
        assertTrue(failure.getCause() instanceof ValidationException);
    }

    // Guards against a process that asks for deleted records again and again, since the response named no first one.
    @Test
    public void aReadOfDeletedRecordsFailsWithExpiredExceptionWhateverTheBodyHolds() {
        response = CompletableFuture.completedFuture(binaryResponse(410, "?".getBytes(StandardCharsets.UTF_8)));
        CompletionException failure = expectThrows(
                CompletionException.class, () -> log.read("x", 0, Duration.ZERO).join());
        assertTrue(failure.getCause() instanceof CompactedLog.ExpiredException);
    }

    @Test
    public void aPageThatCannotBeParsedFails() {
        response = CompletableFuture.completedFuture(binaryResponse(200, new byte[] {1, 2, 3}));
        assertThrows(CompletionException.class, () -> log.read("keyed.x", 0, Duration.ZERO)
                .join());
        assertThrows(
                CompletionException.class, () -> log.readLatestByKey("keyed.x").join());
    }
}
