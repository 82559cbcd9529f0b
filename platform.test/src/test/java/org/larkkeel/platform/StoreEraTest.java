/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.lib.Closer;
import org.larkkeel.store.ExecutorScheduler;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.StoreVersion;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the store's era in an answer, and of its effect on calls. */
public class StoreEraTest {
  private static final ObjectKey KEY = new ObjectKey("things", "one");
  private static final StoreVersion FIVE = new StoreVersion(2, 5);

  private final AtomicInteger calls = new AtomicInteger();
  private volatile String era;
  private Closer closer;
  private PlatformObjectApi api;

  /** Starts a store whose answers have the era header. */
  @BeforeMethod
  public void open() {
    closer = new Closer();
    calls.set(0);
    era = "Store-Era: 2\r\n";
    RawServer server = closer.add(new RawServer(this::serve));
    HttpClientOptions options =
        HttpClientOptions.of(URI.create("http://" + server.address()))
            .withTimeout(Duration.ofSeconds(2));
    ExecutorScheduler scheduler = closer.add(new ExecutorScheduler("test-store"));
    HttpWorker worker = closer.add(new HttpWorker(1));
    api = new PlatformObjectApi(options, worker.worker(), scheduler);
  }

  /** Closes the store. */
  @AfterMethod(alwaysRun = true)
  public void close() throws Exception {
    closer.close();
  }

  private void serve(RawServer.Request r, OutputStream out, Socket socket) throws Exception {
    calls.incrementAndGet();
    String body = "{\"metadata\":{\"name\":\"one\",\"revision\":6},\"spec\":{}}";
    if (r.target().contains("watch=")) {
      body = "{\"events\":[],\"as_of\":9}";
    } else if (r.method().equals("GET")) {
      body = "{\"items\":[],\"more_pages\":false,\"as_of\":9}";
    }
    RawServer.write(
        out, "HTTP/1.1 200 X\r\n" + era + "Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  private static ObjectApiFailure failure(CompletableFuture<?> call) {
    ExecutionException e = expectThrows(ExecutionException.class, call::get);
    return ((ObjectApiException) e.getCause()).failure();
  }

  private void list() throws Exception {
    api.list(ListQuery.of("things")).get();
  }

  @Test
  public void isTheEraOfTheVersionsInTheAnswer() throws Exception {
    assertEquals(api.list(ListQuery.of("things")).get().resourceVersion(), new StoreVersion(2, 9));
    assertEquals(api.era().number(), 2);
  }

  @Test
  public void expiresWatchesOfAnEarlierEra() {
    era = "Store-Era: 3\r\n";
    var ended = api.watch("things", FIVE, Duration.ofSeconds(1), e -> {}).ended();
    assertEquals(failure(ended), new ObjectApiFailure.Expired());
  }

  @Test
  public void conflictsWithVersionsOfAnEarlierEra() throws Exception {
    era = "Store-Era: 3\r\n";
    list();
    int before = calls.get();
    var spec = JsonNodeFactory.instance.objectNode();
    assertEquals(failure(api.update(KEY, "", spec, FIVE)), new ObjectApiFailure.Conflict());
    assertEquals(failure(api.delete(KEY, FIVE)), new ObjectApiFailure.Conflict());
    assertEquals(
        calls.get(), before, "calls whose version could match another state of the object");
  }

  @Test
  public void makesTheOutcomeOfWritesOfAnEarlierEraUnknown() {
    era = "Store-Era: 3\r\n";
    var spec = JsonNodeFactory.instance.objectNode();
    assertEquals(failure(api.update(KEY, "", spec, FIVE)), new ObjectApiFailure.OutcomeUnknown());
  }

  /** Missing and invalid headers. */
  @DataProvider
  public static Object[][] headers() {
    return new Object[][] {
      {""},
      {"Store-Era: \r\n"},
      {"Store-Era: -1\r\n"},
      {"Store-Era: 3.5\r\n"},
      {"Store-Era: three\r\n"},
      {"Store-Era: " + "9".repeat(40) + "\r\n"},
      {"Store-Era: 2\r\nStore-Era: 3\r\n"}
    };
  }

  @Test(dataProvider = "headers")
  public void failsCallsIfItIsNoLongerReadable(String header) throws Exception {
    list();
    era = header;
    assertTrue(
        failure(api.list(ListQuery.of("things"))) instanceof ObjectApiFailure.Unavailable, header);
    assertEquals(api.era().number(), 2);
  }

  @Test
  public void isZeroIfNoAnswerHasIt() throws Exception {
    era = "";
    assertEquals(api.list(ListQuery.of("things")).get().resourceVersion(), new StoreVersion(0, 9));
  }
}
