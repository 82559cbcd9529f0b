/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.larkkeel.event.Event;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.Node;
import org.larkkeel.http.ScriptedServer;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of polls and orphan sweeps of engines; the test runs the poll timer itself. */
public class UpstreamPollerTest {
  private static final long LOAD_NANOS = 250;
  private static final long CACHE_NANOS = 1_000;

  /** Creates pollers whose scheduled tasks are run by the test. */
  public abstract static class WithPoller {
    /** The scheduled tasks with their delays, in the order of scheduling. */
    protected final BlockingQueue<DelayedTask> scheduled = new LinkedBlockingQueue<>();

    /** The events from the poller. */
    protected final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

    /** The monotonic clock, nanoseconds. */
    protected final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(100));

    /** The client for engines. */
    protected EngineClient engines;

    private HttpWorker worker;
    private UpstreamClient client;

    /** A task and its delay. */
    protected record DelayedTask(long nanos, Runnable task) {}

    /** Starts the client. */
    @BeforeMethod
    public void start() {
      scheduled.clear();
      events.clear();
      worker = new HttpWorker(1);
      client = new UpstreamClient(worker, UpstreamClientSettings.DEFAULT, System::nanoTime);
      engines = new EngineClient(client);
    }

    /** Stops the client. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
      client.close();
      worker.close();
    }

    UpstreamPoller poller(double random) {
      PollSettings settings =
          new PollSettings(
              LOAD_NANOS, CACHE_NANOS, TimeUnit.SECONDS.toNanos(Node.TIMEOUT_SECONDS), 0.2);
      return new UpstreamPoller(
          engines,
          settings,
          (nanos, task) -> scheduled.add(new DelayedTask(nanos, task)),
          clock::get,
          () -> random,
          events::add);
    }

    static PollTarget target(String name, ScriptedServer server) {
      return new PollTarget(new UpstreamName(name), new UpstreamAddress(server.address()));
    }

    DelayedTask nextTask() throws InterruptedException {
      DelayedTask task = scheduled.poll(Node.TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertTrue(task != null, "no task was scheduled");
      return task;
    }

    Event nextEvent() throws InterruptedException {
      Event event = events.poll(Node.TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertTrue(event != null, "the poller sent no event");
      return event;
    }
  }

  /** Polls of the load. */
  public static class Load extends WithPoller {
    /**
     * A report describes the time of its request minus its age; then the next poll is scheduled.
     */
    @Test
    public void reportsAndSchedulesNextPoll() throws Exception {
      try (ScriptedServer engine =
          new ScriptedServer(
              (q, a) ->
                  a.answer(
                      200,
                      "{\"incarnation\":5,\"age_millis\":40,\"role\":\"decode\",\"slots\":20,"
                          + "\"running\":3,\"waiting\":1,\"kv_pieces\":64,\"kv_pieces_free\":60,"
                          + "\"models\":[\"m\",\"not valid\"]}"))) {
        UpstreamPoller poller = poller(0.5);
        poller.setTargets(ImmutableSet.of(target("e", engine)));
        DelayedTask first = nextTask();
        assertEquals(
            first.nanos(), LOAD_NANOS / 2, "delay of the first poll, spread over one interval");
        first.task().run();
        Event.LoadReported reported = (Event.LoadReported) nextEvent();
        assertEquals(reported.report().asOf(), clock.get() - TimeUnit.MILLISECONDS.toNanos(40));
        assertEquals(reported.report().running(), 3);
        assertEquals(reported.report().models().size(), 1);
        assertEquals(nextTask().nanos(), CACHE_NANOS / 2);
        assertEquals(nextTask().nanos(), LOAD_NANOS);
      }
    }

    /** An engine that does not respond is reported as unavailable and polled again. */
    @Test
    public void reportsUnavailable() throws Exception {
      try (ScriptedServer engine = new ScriptedServer((q, a) -> a.socket().close())) {
        poller(1.0).setTargets(ImmutableSet.of(target("e", engine)));
        nextTask().task().run();
        assertTrue(nextEvent() instanceof Event.LoadUnavailable);
        assertEquals(nextTask().nanos(), CACHE_NANOS);
        assertEquals(
            nextTask().nanos(), LOAD_NANOS + LOAD_NANOS / 5, "delay of the next poll, with jitter");
      }
    }

    /** A removed target is not polled again; polling of a remaining one is not restarted. */
    @Test
    public void pollsOnlyCurrentTargets() throws Exception {
      try (ScriptedServer engine = new ScriptedServer((q, a) -> a.answer(200, "{}"))) {
        UpstreamPoller poller = poller(0.0);
        PollTarget one = target("one", engine);
        PollTarget two = target("two", engine);
        poller.setTargets(ImmutableSet.of(one));
        Deque<DelayedTask> tasksOfOne = new ArrayDeque<>();
        scheduled.drainTo(tasksOfOne);
        poller.setTargets(ImmutableSet.of(one, two));
        assertEquals(
            scheduled.size(), 2, "number of tasks, which are scheduled for the new target only");
        scheduled.clear();
        poller.setTargets(ImmutableSet.of(two));
        tasksOfOne.forEach(d -> d.task().run());
        assertEquals(engine.pendingRequests(), 0);
        assertEquals(scheduled.size(), 0);
      }
    }
  }

  /** Polls of cache events. */
  public static class Cache extends WithPoller {
    /** Each event is delivered once and in order; a new incarnation is read from its start. */
    @Test
    public void deliversEventsOnceInOrder() throws Exception {
      String[] responses = {
        "{\"incarnation\":1,\"events\":[{\"seq\":7,\"stored\":[],\"removed\":[\"02\"]},"
            + "{\"seq\":4,\"stored\":[\"ffffffffffffffff\"],\"removed\":[]}]}",
        "{\"incarnation\":1,\"events\":[{\"seq\":7,\"stored\":[],\"removed\":[\"02\"]}]}",
        "{\"incarnation\":2,\"events\":[{\"seq\":9,\"stored\":[],\"removed\":[]}]}",
        "{\"incarnation\":2,\"events\":[{\"seq\":1,\"stored\":[\"03\"],\"removed\":[]}]}",
      };
      AtomicInteger requestCount = new AtomicInteger();
      try (ScriptedServer engine =
          new ScriptedServer((q, a) -> a.answer(200, responses[requestCount.getAndIncrement()]))) {
        UpstreamPoller poller = poller(0.5);
        poller.setTargets(ImmutableSet.of(target("e", engine)));
        nextTask();
        for (int i = 0; i < responses.length; i++) {
          nextTask().task().run();
          assertEquals(
              engine.next().target(), "/v1/cache/events?after=" + (i == 0 || i == 3 ? 0 : 7));
        }
        nextTask();
        Event.CacheChanged first = (Event.CacheChanged) nextEvent();
        assertEquals(first.sequence(), 4);
        assertEquals(first.stored(), ImmutableLongArray.of(-1));
        assertEquals(((Event.CacheChanged) nextEvent()).sequence(), 7);
        Event.CacheChanged last = (Event.CacheChanged) nextEvent();
        assertEquals(last.incarnation(), new Incarnation(2));
        assertEquals(last.sequence(), 1);
        assertEquals(events.size(), 0);
      }
    }
  }

  /** Sweeps that cancel orphans at engines. */
  public static class Orphans extends WithPoller {
    /** Only requests of ended node incarnations are cancelled; failed cancels are counted. */
    @Test
    public void cancelsOnlyRequestsOfEndedNodes() throws Exception {
      BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
      try (ScriptedServer engine =
          new ScriptedServer(
              (q, a) -> {
                if (q.method().equals("GET")) {
                  a.answer(
                      200,
                      "{\"incarnation\":1,\"requests\":[{\"id\":\"n1/7/1\"},{\"id\":\"n1/8/1\"},"
                          + "{\"id\":\"n2/7/1\"},{\"id\":\"n1/7/2\"},{\"id\":\"other\"},"
                          + "{\"id\":\"n1/7\"}]}");
                } else {
                  cancelled.add(q.target());
                  a.answer(q.target().endsWith("2") ? 500 : 200, "{\"state\":\"cancelled\"}");
                }
              })) {
        EngineRequestId.Origin ended =
            new EngineRequestId.Origin(new HostName("n1"), new Incarnation(7));
        OrphanSweep sweep =
            new OrphanSweep(engines, TimeUnit.SECONDS.toNanos(Node.TIMEOUT_SECONDS));
        OrphanSweep.Result result =
            sweep
                .sweep(new UpstreamAddress(engine.address()), ended::equals)
                .get(Node.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(result, new OrphanSweep.Result(6, 1, 1));
        assertEquals(
            ImmutableSet.copyOf(cancelled),
            ImmutableSet.of("/v1/requests/n1%2F7%2F1", "/v1/requests/n1%2F7%2F2"));
      }
    }
  }
}
