/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.SplittableRandom;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.InputLimit;
import org.larkkeel.http.Problem;
import org.larkkeel.http.caller.BodyReader;
import org.larkkeel.http.caller.CallerSettings;
import org.larkkeel.http.caller.RequestTarget;
import org.larkkeel.http.caller.UndertowChannel;
import org.larkkeel.http.request.RecordedAnswer;
import org.larkkeel.lib.RequestId;
import org.larkkeel.relay.EarlyRefusal;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RequestIdentity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * Accepts opaque HTTP requests of callers and submits them to the router.
 *
 * <p>Safe for use by several threads; requests are handled on I/O threads.
 *
 * @since 0.1
 */
public final class RelayListener implements AutoCloseable {
  private static final int MAX_HEADER_BYTES = 64 << 10;
  private static final int BACKLOG = 1024;

  /**
   * The part of an oversized body that is read and discarded, in multiples of the body limit; see
   * {@link org.larkkeel.http.caller.CallerListener}.
   */
  private static final long DRAINED_BODY_FACTOR = 2;

  private static final long STOPPING_RETRY_MILLIS = 50;
  private static final Logger log = LoggerFactory.getLogger(RelayListener.class);

  private final CallerSettings settings;
  private final RelayLoop loop;
  private final RelayExecutor executor;
  private final RelayDialect dialect;
  private final BodyReader bodies;
  private long lastId;
  private volatile boolean closing;
  private volatile boolean refusing;
  private final IntakeGate intake;
  private HttpOpenListener connections;
  private AcceptingChannel<StreamConnection> server;

  private RelayListener(
      CallerSettings settings, RelayLoop loop, RelayExecutor executor, RelayDialect dialect) {
    this.settings = settings;
    this.loop = loop;
    this.executor = executor;
    this.dialect = dialect;
    this.bodies = new BodyReader(settings);
    this.intake = new IntakeGate(new SplittableRandom(settings.bind().hashCode()));
  }

  /**
   * Binds the address and starts to accept connections.
   *
   * @param settings the address and the limits; TLS is not used
   * @param worker a worker with one I/O thread, that of the loop
   * @param loop receives the arrivals
   * @param executor answers the callers
   * @param dialect the protocol of the callers
   */
  public static RelayListener start(
      CallerSettings settings,
      HttpWorker worker,
      RelayLoop loop,
      RelayExecutor executor,
      RelayDialect dialect) {
    RelayListener listener = new RelayListener(settings, loop, executor, dialect);
    listener.bind(worker);
    loop.thread().execute(() -> loop.setTurnListener(listener.intake::turned));
    return listener;
  }

  private void bind(HttpWorker worker) {
    OptionMap options =
        OptionMap.builder()
            .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
            .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .set(UndertowOptions.ALWAYS_SET_DATE, false)
            .set(UndertowOptions.DECODE_URL, false)
            .set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
            .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .set(UndertowOptions.MAX_ENTITY_SIZE, DRAINED_BODY_FACTOR * settings.maxBodyBytes())
            .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, settings.headerMillis())
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, settings.idleMillis())
            .getMap();
    OptionMap socketOptions =
        OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, BACKLOG)
            .set(Options.BALANCING_TOKENS, 1)
            .set(Options.BALANCING_CONNECTIONS, 2)
            .getMap();
    connections = new HttpOpenListener(worker.buffers(), options);
    connections.setRootHandler(new HttpContinueReadHandler(this::handle));
    try {
      server =
          worker
              .worker()
              .createStreamConnectionServer(
                  settings.bind(),
                  ChannelListeners.openListenerAdapter(this::opened),
                  socketOptions);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen at " + settings.bind(), e);
    }
    server.resumeAccepts();
  }

  private void opened(StreamConnection connection) {
    if (intake.admits()) {
      // The HTTP server bounds heads and bodies by its own options.
      InputLimit.install(connection, Long.MAX_VALUE);
      connections.handleEvent(connection);
    } else {
      IoUtils.safeClose(connection);
    }
  }

  /** Returns the number of connections that were closed unread since the loop was behind. */
  public long closedUnread() {
    return intake.closed();
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return server.getLocalAddress(InetSocketAddress.class);
  }

  /** From now on closes each connection after the next answer on it. */
  public void closeAfterAnswers() {
    closing = true;
  }

  /**
   * From now on refuses each new request as not run, so that the caller retries at another node.
   */
  public void refuseNew() {
    refusing = true;
  }

  @Override
  public void close() {
    IoUtils.safeClose(server);
    connections.closeConnections();
  }

  private void handle(HttpServerExchange exchange) {
    CallMetadata metadata = CallMetadata.NONE;
    try {
      metadata = dialect.readMetadata(exchange.getRequestHeaders());
      CallMetadata read = metadata;
      if (!refusing && refuseEarly(exchange, metadata)) {
        return;
      }
      bodies.read(exchange, metadata.wireId(), body -> accept(exchange, read, body));
    } catch (LarkkeelException e) {
      answer(exchange, Problem.of(e.kind(), e.getMessage(), metadata.wireId()));
    }
  }

  /**
   * Refuses a call whose workspace is known to have used up its quota, without reading its body;
   * returns whether it did. The body that the caller has sent is discarded after the answer.
   */
  private boolean refuseEarly(HttpServerExchange exchange, CallMetadata metadata) {
    Optional<EarlyRefusal> found = loop.earlyRefusal(host(exchange), path(exchange), metadata);
    if (found.isEmpty()) {
      return false;
    }
    EarlyRefusal refusal = found.get();
    if (closing) {
      exchange.setPersistent(false);
    }
    loop.submit(new RelayEvent.RefusedEarly(loop.now(), refusal.workspace(), refusal.tokens()));
    answer(
        exchange,
        new Problem(
            ErrorKind.WORKSPACE_LIMIT,
            refusal.detail(),
            metadata.wireId(),
            refusal.retryAfterMillis()));
    return true;
  }

  private void accept(HttpServerExchange exchange, CallMetadata metadata, BodyReader.Body body) {
    if (closing) {
      exchange.setPersistent(false);
    }
    if (refusing) {
      body.release().run();
      refuseStopping(exchange, metadata);
      return;
    }
    UndertowChannel channel = new UndertowChannel(exchange, settings, body.release());
    String target = RequestTarget.of(exchange);
    RelayCall call =
        new RelayCall(
            new RequestId(++lastId),
            metadata.wireId(),
            host(exchange),
            path(exchange),
            metadata.deadlineMillis(),
            metadata.size(),
            metadata.prompt(),
            metadata.resumesStream(),
            metadata.resumedStream(),
            identity(exchange, target, metadata, body.bytes()),
            metadata.key());
    RelayRequest request =
        new RelayRequest(
            call,
            exchange.getRequestMethod(),
            target,
            RelayRequest.endToEnd(exchange.getRequestHeaders(), true),
            body.bytes(),
            channel);
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> submitArrival(request));
  }

  private static String path(HttpServerExchange exchange) {
    String target = RequestTarget.of(exchange);
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  private static String host(HttpServerExchange exchange) {
    return String.valueOf(exchange.getRequestHeaders().getFirst(Headers.HOST));
  }

  private static RequestIdentity identity(
      HttpServerExchange exchange, String target, CallMetadata metadata, byte[] body) {
    return new RequestIdentity(
        exchange.getRequestMethod().toString(),
        host(exchange),
        target,
        metadata.key().map(k -> k.digest().toString()).orElse(""),
        body);
  }

  private void refuseStopping(HttpServerExchange exchange, CallMetadata metadata) {
    String detail = "This node stops.";
    Problem problem =
        new Problem(ErrorKind.NOT_READY, detail, metadata.wireId(), STOPPING_RETRY_MILLIS);
    log.info(
        "event=refused call={} kind={} detail=\"{}\"",
        printableId(metadata),
        problem.kind(),
        detail);
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> answer(exchange, problem));
  }

  private static String printableId(CallMetadata metadata) {
    return metadata.wireId().replaceAll("[^\\x21\\x23-\\x7e]", "?");
  }

  private void submitArrival(RelayRequest request) {
    executor.add(request);
    request.channel.onDisconnect(() -> executor.callerGone(request.call.id()));
    request.channel.watchForDisconnect();
    loop.submit(new RelayEvent.Arrived(loop.now(), request.call));
  }

  private void answer(HttpServerExchange exchange, Problem problem) {
    RecordedAnswer answer = dialect.refusal(problem);
    exchange.setStatusCode(answer.status());
    answer
        .headers()
        .forEach(h -> exchange.getResponseHeaders().put(new HttpString(h.name()), h.value()));
    exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
  }
}
