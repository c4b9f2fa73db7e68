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
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.log.CompactedLog;
import org.gypsumflow.log.CompactedLog.Page;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class HttpCompactedLogTest {
    private final List<byte[]> appended = new ArrayList<>();
    private volatile CompletableFuture<ServerResponse> response;
    private GrizzlyHttpServer store;
    private HttpClient httpClient;
    private CompactedLog log;

    @BeforeMethod
    public void startStore() {
        appended.clear();
        store = GrizzlyHttpServer.create("127.0.0.1", 0, 1, (event, details) -> {});
        store.setDefaultHandler(request -> {
            appended.add(request.body());
            return response;
        });
        httpClient = HttpClient.create();
        log = HttpCompactedLog.create(httpClient, "127.0.0.1:" + store.start());
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

    @Test
    public void aPageThatCannotBeParsedFails() {
        response = CompletableFuture.completedFuture(binaryResponse(200, new byte[] {1, 2, 3}));
        assertThrows(CompletionException.class, () -> log.read("keyed.x", 0, Duration.ZERO)
                .join());
        assertThrows(
                CompletionException.class, () -> log.readLatestByKey("keyed.x").join());
    }
}
