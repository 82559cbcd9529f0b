/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The I/O threads and buffers shared by the HTTP listeners and clients of one process.
 *
 * <p>Safe for use by several threads. Must be closed after all listeners and clients that use it.
 *
 * @since 0.1
 */
public final class HttpWorker implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_POOLED_BUFFERS = 512;
  private static final int THREAD_LOCAL_BUFFERS = 4;
  private static final int TASK_THREADS = 2;
  private static final long STOP_SECONDS = 5;

  private final XnioWorker worker;
  private final ByteBufferPool buffers;

  /**
   * Starts the I/O threads.
   *
   * @param ioThreads the number of I/O threads, at least 1
   */
  public HttpWorker(int ioThreads) {
    OptionMap options =
        OptionMap.builder()
            .set(Options.WORKER_IO_THREADS, ioThreads)
            .set(Options.WORKER_TASK_CORE_THREADS, TASK_THREADS)
            .set(Options.WORKER_TASK_MAX_THREADS, TASK_THREADS)
            .set(Options.TCP_NODELAY, true)
            .set(Options.THREAD_DAEMON, true)
            .set(Options.WORKER_NAME, "larkkeel-http")
            .getMap();
    try {
      worker = Xnio.getInstance().createWorker(options);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot start the HTTP I/O threads", e);
    }
    buffers =
        new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, THREAD_LOCAL_BUFFERS);
  }

  /**
   * Returns the worker that owns the I/O threads.
   *
   * @return the XNIO worker
   */
  public XnioWorker worker() {
    return worker;
  }

  /**
   * Returns the shared buffers.
   *
   * @return the buffer pool
   */
  public ByteBufferPool buffers() {
    return buffers;
  }

  @Override
  public void close() {
    worker.shutdownNow();
    try {
      worker.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    buffers.close();
  }
}
