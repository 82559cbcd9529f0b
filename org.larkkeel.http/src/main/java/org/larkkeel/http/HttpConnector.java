/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;

/**
 * Opens HTTP connections whose input is limited.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class HttpConnector {
  private static final OptionMap OPTIONS =
      OptionMap.create(UndertowOptions.ENABLE_STATISTICS, true);

  private HttpConnector() {}

  /**
   * An open connection.
   *
   * @param http the connection
   * @param limit the limit of its input
   */
  public record Opened(ClientConnection http, InputLimit limit) {}

  /** Receives the result of opening a connection. */
  public interface Callback {
    /** Receives the connection. */
    void opened(Opened connection);

    /** Is notified that the connection could not be opened. */
    void failed(IOException e);
  }

  /**
   * Opens a connection.
   *
   * @param worker the buffers
   * @param thread the I/O thread of the connection
   * @param local the local address; empty for any
   * @param authority the host and the port, as in a URI
   * @param maxOverheadBytes the maximum number of bytes without content, see {@link InputLimit}
   * @param prepare is given the connection before anything is read from it, and may set a conduit
   * @param callback receives the result
   */
  public static void connect(
      HttpWorker worker,
      XnioIoThread thread,
      Optional<InetSocketAddress> local,
      String authority,
      long maxOverheadBytes,
      Consumer<StreamConnection> prepare,
      Callback callback) {
    LimitingThread limiting = new LimitingThread(thread, maxOverheadBytes, prepare);
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<>() {
              @Override
              public void completed(ClientConnection connection) {
                callback.opened(new Opened(connection, limiting.limit));
              }

              @Override
              public void failed(IOException e) {
                callback.failed(e);
              }
            },
            local.orElse(null),
            URI.create("http://" + authority),
            limiting,
            worker.buffers(),
            OPTIONS);
  }

  /**
   * Stands for an I/O thread, and limits the input of the one connection that is opened with it
   * before the HTTP client gets the connection. It is never started.
   */
  private static final class LimitingThread extends XnioIoThread {
    private final XnioIoThread thread;
    private final long maxOverheadBytes;
    private final Consumer<StreamConnection> prepare;
    private InputLimit limit;

    LimitingThread(XnioIoThread thread, long maxOverheadBytes, Consumer<StreamConnection> prepare) {
      super(thread.getWorker(), thread.getNumber());
      this.thread = thread;
      this.maxOverheadBytes = maxOverheadBytes;
      this.prepare = prepare;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
        SocketAddress destination,
        ChannelListener<? super StreamConnection> opened,
        OptionMap options) {
      return thread.openStreamConnection(destination, limiting(opened), options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
        SocketAddress destination,
        ChannelListener<? super StreamConnection> opened,
        ChannelListener<? super BoundChannel> bound,
        OptionMap options) {
      return thread.openStreamConnection(destination, limiting(opened), bound, options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
        SocketAddress local,
        SocketAddress destination,
        ChannelListener<? super StreamConnection> opened,
        ChannelListener<? super BoundChannel> bound,
        OptionMap options) {
      return thread.openStreamConnection(local, destination, limiting(opened), bound, options);
    }

    private ChannelListener<StreamConnection> limiting(
        ChannelListener<? super StreamConnection> opened) {
      return connection -> {
        prepare.accept(connection);
        limit = InputLimit.install(connection, maxOverheadBytes);
        opened.handleEvent(connection);
      };
    }

    @Override
    public void execute(Runnable command) {
      thread.execute(command);
    }

    @Override
    public XnioExecutor.Key executeAfter(Runnable command, long time, TimeUnit unit) {
      return thread.executeAfter(command, time, unit);
    }

    @Override
    public XnioExecutor.Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
      return thread.executeAtInterval(command, time, unit);
    }
  }
}
