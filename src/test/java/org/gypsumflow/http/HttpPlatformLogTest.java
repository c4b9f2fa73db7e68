package org.gypsumflow.http;

import static org.testng.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.model.StreamName;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class HttpPlatformLogTest {
    private GrizzlyHttpServer server;
    private HttpClient httpClient;
    private HttpPlatformLog log;
    private volatile String response;

    @BeforeMethod
    public void startALogThatAnswersAsTheTestSays() {
        server = GrizzlyHttpServer.create("127.0.0.1", 0, 1, (event, details) -> {});
        server.addHandler(
                "GET",
                "/streams",
                request -> CompletableFuture.completedFuture(new ServerResponse(
                        200, "application/json", response.getBytes(StandardCharsets.UTF_8), Map.of())));
        httpClient = HttpClient.create();
        log = HttpPlatformLog.create(httpClient, "http://127.0.0.1:" + server.start(), Duration.ofSeconds(20));
    }

    @AfterMethod
    public void stopServer() {
        httpClient.close();
        server.close();
    }

    @DataProvider
    public Object[][] oddPages() {
        return new Object[][] {
            {"[".repeat(100_000)},
            {"{\"firstOffset\":0,\"headOffset\":0,\"records\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}"},
            {"{\"firstOffset\":0,\"headOffset\":18446744073709551621,\"records\":[]}"},
            {"{\"firstOffset\":0,\"headOffset\":1,\"records\":[{\"offset\":18446744073709551616,\"body\":\"\"}]}"},
            {"{\"firstOffset\":0,\"headOffset\":1,\"records\":[{\"offset\":0,\"body\":7}]}"},
        };
    }

    // Guards against offsets that are cut off, and against an error other than a failed read.
    @Test(dataProvider = "oddPages", timeOut = 60_000)
    public void anOddPageFailsTheRead(String page) {
        response = page;
        assertThrows(CompletionException.class, () -> log.read(StreamName.MEMBERS, 0, 10)
                .join());
    }
}
