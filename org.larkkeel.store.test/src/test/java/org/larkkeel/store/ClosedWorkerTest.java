/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import static org.testng.Assert.assertThrows;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Tests that calls in progress fail when the I/O worker is shut down, which happens before the
 * scheduler stops.
 */
public class ClosedWorkerTest {
  /** Calls with a single answer. */
  public static class Calls {
    @Test
    public void callFailsAfterWorkerShutdown() throws Exception {
      ScriptedServer server = new ScriptedServer();
      server.then(ScriptedServer.SILENCE);
      ExecutorScheduler scheduler = new ExecutorScheduler("test");
      XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
      HttpClientOptions options =
          HttpClientOptions.of(server.uri()).withTimeout(Duration.ofSeconds(1));
      HttpObjectApi api = new HttpObjectApi(options, worker, scheduler);
      final CompletableFuture<?> call = api.get(new ObjectKey("test", "one"));
      server.nextRequest();
      worker.shutdownNow();
      worker.awaitTermination(5, TimeUnit.SECONDS);
      assertThrows(ExecutionException.class, () -> call.get(5, TimeUnit.SECONDS));
      api.close();
      server.close();
      scheduler.close();
    }
  }

  /** Watches. */
  public static class Watches {
    @Test
    public void watchFailsAfterWorkerShutdown() throws Exception {
      ScriptedServer server = new ScriptedServer();
      server.then(ScriptedServer.SILENCE);
      ExecutorScheduler scheduler = new ExecutorScheduler("test");
      XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
      HttpObjectApi api = new HttpObjectApi(HttpClientOptions.of(server.uri()), worker, scheduler);
      final Watch w = api.watch("test", new StoreVersion(0, 5), Duration.ofSeconds(1), e -> {});
      server.nextRequest();
      worker.shutdownNow();
      worker.awaitTermination(5, TimeUnit.SECONDS);
      assertThrows(ExecutionException.class, () -> w.ended().get(5, TimeUnit.SECONDS));
      api.close();
      server.close();
      scheduler.close();
    }
  }
}
