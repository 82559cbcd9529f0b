/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.UnaryOperator;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.Event;
import org.larkkeel.http.caller.CallerListener;
import org.larkkeel.http.caller.CallerServices;
import org.larkkeel.http.caller.CallerSettings;
import org.larkkeel.http.caller.Workspaces;
import org.larkkeel.http.request.EffectExecutor;
import org.larkkeel.http.request.RequestTable;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamClientSettings;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;

/** The HTTP layer of a node; the test takes the place of the reducer. */
public final class Node implements AutoCloseable {
  /** The time after which a wait fails the test; no assertion depends on its length. */
  public static final int TIMEOUT_SECONDS = 10;

  /** The workspace that needs no token. */
  public static final String OPEN_WORKSPACE = "open";

  /** The token of the workspace {@code closed}. */
  public static final String TOKEN = "s3cret";

  /** The host and incarnation of this node. */
  public static final EngineRequestId.Origin ORIGIN =
      new EngineRequestId.Origin(new HostName("n1"), new Incarnation(7));

  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);

  /** True if {@code /readyz} reports that the node is ready. */
  public final AtomicBoolean ready = new AtomicBoolean(true);

  /** The current workspaces. */
  public volatile Workspaces workspaces =
      new Workspaces(
          ImmutableMap.of(BearerToken.digest(TOKEN), new WorkspaceName("closed")),
          ImmutableSet.of(OPEN_WORKSPACE));

  /** The requests in progress. */
  public final RequestTable table = new RequestTable();

  /** Sends requests to upstreams. */
  public final UpstreamClient client;

  private final HttpWorker worker = new HttpWorker(2);
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final Map<UpstreamName, UpstreamAddress> upstreams = new ConcurrentHashMap<>();
  private final EffectExecutor executor;
  private final CallerListener listener;

  /** Starts a node with the default settings. */
  public Node() {
    this(UnaryOperator.identity());
  }

  /** Starts a node with changed settings. */
  public Node(UnaryOperator<CallerSettings> change) {
    client = new UpstreamClient(worker, UpstreamClientSettings.DEFAULT, System::nanoTime);
    executor =
        new EffectExecutor(
            ORIGIN,
            table,
            client,
            n -> Optional.ofNullable(upstreams.get(n)),
            events::add,
            System::nanoTime);
    listener =
        CallerListener.start(
            change.apply(
                CallerSettings.on(new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), 0))),
            worker,
            new CallerServices(
                ORIGIN,
                table,
                events::add,
                () -> workspaces,
                ready::get,
                () -> "metric 1\n",
                System::nanoTime,
                InstantSource.system()));
  }

  /** Returns the address of the listener for callers. */
  public InetSocketAddress address() {
    return listener.address();
  }

  /** Reloads the TLS certificate. */
  public void reloadTls() {
    listener.reloadTls();
  }

  /** Opens a connection as a caller. */
  public RawCaller call() throws Exception {
    return new RawCaller(listener.address());
  }

  /** Registers the address of an upstream. */
  public UpstreamName upstream(String name, InetSocketAddress address) {
    UpstreamName upstream = new UpstreamName(name);
    upstreams.put(upstream, new UpstreamAddress(address));
    return upstream;
  }

  /** Executes an effect. */
  public void execute(Effect effect) {
    if (!executor.execute(effect)) {
      throw new AssertionError(effect + " concerns neither callers nor upstreams");
    }
  }

  /** Starts a decode attempt. */
  public void decode(AttemptId attempt, RequestId request, UpstreamName at, int resumeFrom) {
    execute(new Effect.StartDecode(attempt, request, at, 0, resumeFrom, TIMEOUT_NANOS));
  }

  /** Sends a plain call to a service. */
  public void plain(AttemptId attempt, RequestId request, UpstreamName at) {
    execute(new Effect.SendPlain(attempt, request, at, TIMEOUT_NANOS));
  }

  /** Starts a prefill. */
  public void prefill(AttemptId attempt, RequestId request, UpstreamName at) {
    execute(new Effect.StartPrefill(attempt, request, at, 3, 0, TIMEOUT_NANOS));
  }

  /** Starts a KV transfer. */
  public void transfer(
      AttemptId attempt, RequestId request, AttemptId prefill, UpstreamName from, UpstreamName to) {
    execute(new Effect.StartTransfer(attempt, request, prefill, from, to, TIMEOUT_NANOS));
  }

  /** Waits for the next event, which must be of the given type. */
  public <E extends Event> E await(Class<E> type) throws InterruptedException {
    Event event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (event == null) {
      throw new AssertionError("no event was submitted; expected " + type.getSimpleName());
    }
    if (!type.isInstance(event)) {
      throw new AssertionError("expected " + type.getSimpleName() + " but got " + event);
    }
    return type.cast(event);
  }

  /** Waits for the arrival of a request, which must be the next event. */
  public RequestId arrival() throws InterruptedException {
    return await(Event.RequestArrived.class).call().id();
  }

  /** Waits for the next event of any type. */
  public Event next() throws InterruptedException {
    return await(Event.class);
  }

  /** Returns the number of events that the test has not taken. */
  public int pendingEvents() {
    return events.size();
  }

  @Override
  public void close() {
    listener.close();
    client.close();
    worker.close();
  }
}
