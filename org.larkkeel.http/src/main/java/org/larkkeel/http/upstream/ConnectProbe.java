/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.larkkeel.relay.ProbeResult;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Probes whether a process listens at an address by opening a TCP connection without sending data.
 *
 * <p>Confined to its I/O thread.
 *
 * @since 0.1
 */
public final class ConnectProbe {
  private static final long TIMEOUT_MILLIS = 500;

  private final XnioIoThread thread;

  /** Creates a probe that runs on the given I/O thread. */
  public ConnectProbe(XnioIoThread thread) {
    this.thread = thread;
  }

  /**
   * Starts one connection attempt.
   *
   * @param address the address to connect to
   * @param done receives the result, exactly once, on the I/O thread
   */
  public void start(InetSocketAddress address, Consumer<ProbeResult> done) {
    IoFuture<StreamConnection> connecting =
        thread.openStreamConnection(address, IoUtils::safeClose, OptionMap.EMPTY);
    XnioExecutor.Key timeout =
        thread.executeAfter(connecting::cancel, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    connecting.addNotifier(
        (future, nothing) -> {
          timeout.remove();
          ProbeResult result = result(future);
          thread.execute(() -> done.accept(result));
        },
        null);
  }

  private static ProbeResult result(IoFuture<? extends StreamConnection> future) {
    return switch (future.getStatus()) {
      case DONE -> ProbeResult.LISTENS;
      case FAILED ->
          future.getException() instanceof ConnectException
              ? ProbeResult.REFUSES
              : ProbeResult.SILENT;
      default -> ProbeResult.SILENT;
    };
  }
}
