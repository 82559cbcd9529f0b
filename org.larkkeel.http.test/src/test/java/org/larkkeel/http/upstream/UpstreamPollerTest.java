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

/** Polls and sweeps of engines, on virtual time. */
public class UpstreamPollerTest {
  private static final long LOAD = 250;
  private static final long CACHE = 1_000;

  /** A poller whose timer is worked by the test. */
  public abstract static class WithPoller {
    /** The delays and tasks that wait, in the order of their coming. */
    protected final BlockingQueue<Delayed> timer = new LinkedBlockingQueue<>();

    /** What the poller told. */
    protected final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

    /** The time. */
    protected final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(100));

    /** Asks engines. */
    protected EngineClient engines;

    private HttpWorker worker;
    private UpstreamClient client;

    /** A task of the timer. */
    protected record Delayed(long nanos, Runnable task) {}

    /** Starts the client. */
    @BeforeMethod
    public void start() {
      timer.clear();
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
          new PollSettings(LOAD, CACHE, TimeUnit.SECONDS.toNanos(Node.PATIENCE_SECONDS), 0.2);
      return new UpstreamPoller(
          engines,
          settings,
          (nanos, task) -> timer.add(new Delayed(nanos, task)),
          clock::get,
          () -> random,
          events::add);
    }

    static PollTarget target(String name, ScriptedServer server) {
      return new PollTarget(new UpstreamName(name), new UpstreamAddress(server.address()));
    }

    Delayed nextTask() throws InterruptedException {
      Delayed task = timer.poll(Node.PATIENCE_SECONDS, TimeUnit.SECONDS);
      assertTrue(task != null, "nothing is planned");
      return task;
    }

    Event nextEvent() throws InterruptedException {
      Event event = events.poll(Node.PATIENCE_SECONDS, TimeUnit.SECONDS);
      assertTrue(event != null, "no event came");
      return event;
    }
  }

  /** Polls of the load. */
  public static class Load extends WithPoller {
    /**
     * A report is dated back by its age from when it was asked for, and the next poll is planned.
     */
    @Test
    public void reportsAndPlansNext() throws Exception {
      try (ScriptedServer engine =
          new ScriptedServer(
              (q, a) ->
                  a.whole(
                      200,
                      "{\"incarnation\":5,\"age_millis\":40,\"role\":\"decode\",\"slots\":20,"
                          + "\"running\":3,\"waiting\":1,\"kv_pieces\":64,\"kv_pieces_free\":60,"
                          + "\"models\":[\"m\",\"not valid\"]}"))) {
        UpstreamPoller poller = poller(0.5);
        poller.setTargets(ImmutableSet.of(target("e", engine)));
        Delayed first = nextTask();
        assertEquals(first.nanos(), LOAD / 2, "the first poll is spread over a period");
        first.task().run();
        Event.LoadReported reported = (Event.LoadReported) nextEvent();
        assertEquals(reported.report().asOf(), clock.get() - TimeUnit.MILLISECONDS.toNanos(40));
        assertEquals(reported.report().running(), 3);
        assertEquals(reported.report().models().size(), 1);
        assertEquals(nextTask().nanos(), CACHE / 2);
        assertEquals(nextTask().nanos(), LOAD);
      }
    }

    /** An engine that can not be asked is told as such and asked again. */
    @Test
    public void tellsUnavailable() throws Exception {
      try (ScriptedServer engine = new ScriptedServer((q, a) -> a.socket().close())) {
        poller(1.0).setTargets(ImmutableSet.of(target("e", engine)));
        nextTask().task().run();
        assertTrue(nextEvent() instanceof Event.LoadUnavailable);
        assertEquals(nextTask().nanos(), CACHE);
        assertEquals(nextTask().nanos(), LOAD + LOAD / 5, "with jitter");
      }
    }

    /** A target that is taken out is polled no more; one that stays is not disturbed. */
    @Test
    public void followsTargets() throws Exception {
      try (ScriptedServer engine = new ScriptedServer((q, a) -> a.whole(200, "{}"))) {
        UpstreamPoller poller = poller(0.0);
        PollTarget one = target("one", engine);
        PollTarget two = target("two", engine);
        poller.setTargets(ImmutableSet.of(one));
        Deque<Delayed> ofOne = new ArrayDeque<>();
        timer.drainTo(ofOne);
        poller.setTargets(ImmutableSet.of(one, two));
        assertEquals(timer.size(), 2, "only the new one is started");
        timer.clear();
        poller.setTargets(ImmutableSet.of(two));
        ofOne.forEach(d -> d.task().run());
        assertEquals(engine.waitingRequests(), 0);
        assertEquals(timer.size(), 0);
      }
    }
  }

  /** Polls of cache events. */
  public static class Cache extends WithPoller {
    /** Each event is told once and in order; a new incarnation is read from its beginning. */
    @Test
    public void followsCursor() throws Exception {
      String[] answers = {
        "{\"incarnation\":1,\"events\":[{\"seq\":7,\"stored\":[],\"removed\":[\"02\"]},"
            + "{\"seq\":4,\"stored\":[\"ffffffffffffffff\"],\"removed\":[]}]}",
        "{\"incarnation\":1,\"events\":[{\"seq\":7,\"stored\":[],\"removed\":[\"02\"]}]}",
        "{\"incarnation\":2,\"events\":[{\"seq\":9,\"stored\":[],\"removed\":[]}]}",
        "{\"incarnation\":2,\"events\":[{\"seq\":1,\"stored\":[\"03\"],\"removed\":[]}]}",
      };
      AtomicInteger asked = new AtomicInteger();
      try (ScriptedServer engine =
          new ScriptedServer((q, a) -> a.whole(200, answers[asked.getAndIncrement()]))) {
        UpstreamPoller poller = poller(0.5);
        poller.setTargets(ImmutableSet.of(target("e", engine)));
        nextTask();
        for (int i = 0; i < answers.length; i++) {
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

  /** Sweeps of orphans. */
  public static class Orphans extends WithPoller {
    /** Only requests of dead starts are cancelled, and failed cancels are counted. */
    @Test
    public void touchesDeadOnly() throws Exception {
      BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
      try (ScriptedServer engine =
          new ScriptedServer(
              (q, a) -> {
                if (q.method().equals("GET")) {
                  a.whole(
                      200,
                      "{\"incarnation\":1,\"requests\":[{\"id\":\"n1/7/1\"},{\"id\":\"n1/8/1\"},"
                          + "{\"id\":\"n2/7/1\"},{\"id\":\"n1/7/2\"},{\"id\":\"other\"},"
                          + "{\"id\":\"n1/7\"}]}");
                } else {
                  cancelled.add(q.target());
                  a.whole(q.target().endsWith("2") ? 500 : 200, "{\"state\":\"cancelled\"}");
                }
              })) {
        EngineRequestId.Origin dead =
            new EngineRequestId.Origin(new HostName("n1"), new Incarnation(7));
        OrphanSweep sweep =
            new OrphanSweep(engines, TimeUnit.SECONDS.toNanos(Node.PATIENCE_SECONDS));
        OrphanSweep.Result result =
            sweep
                .sweep(new UpstreamAddress(engine.address()), dead::equals)
                .get(Node.PATIENCE_SECONDS, TimeUnit.SECONDS);
        assertEquals(result, new OrphanSweep.Result(6, 1, 1));
        assertEquals(
            ImmutableSet.copyOf(cancelled),
            ImmutableSet.of("/v1/requests/n1%2F7%2F1", "/v1/requests/n1%2F7%2F2"));
      }
    }
  }
}
