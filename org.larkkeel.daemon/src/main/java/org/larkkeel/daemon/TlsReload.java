/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.larkkeel.daemon.settings.TlsFiles;
import org.larkkeel.store.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reloads the certificate of a listener when the certificate or key file changes.
 *
 * <p>If the files are unusable, the listener keeps its certificate and the reload is retried after
 * the next period. Safe for use by several threads; its state is confined to the scheduler.
 */
final class TlsReload implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(TlsReload.class);

  private final TlsFiles files;
  private final Runnable reload;
  private final Scheduler scheduler;
  private final Duration period;
  private Optional<List<FileTime>> loadedTimes;
  private volatile boolean closed;

  TlsReload(TlsFiles files, Runnable reload, Scheduler scheduler, Duration period) {
    this.files = files;
    this.reload = reload;
    this.scheduler = scheduler;
    this.period = period;
    this.loadedTimes = modificationTimes();
  }

  void start() {
    scheduler.schedule(period, this::check);
  }

  private void check() {
    if (closed) {
      return;
    }
    Optional<List<FileTime>> current = modificationTimes();
    if (current.isPresent() && !current.equals(loadedTimes)) {
      tryReload(current);
    }
    start();
  }

  private void tryReload(Optional<List<FileTime>> current) {
    try {
      reload.run();
      loadedTimes = current;
      log.info("event=certificate_reloaded file={}", files.certificate());
    } catch (IllegalArgumentException | UncheckedIOException e) {
      log.warn("event=certificate_refused cause=\"{}\"", e.getMessage());
    }
  }

  private Optional<List<FileTime>> modificationTimes() {
    try {
      FileTime certificate = Files.getLastModifiedTime(files.certificate());
      FileTime key = Files.getLastModifiedTime(files.key());
      return Optional.of(Stream.of(certificate, key).toList());
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  @Override
  public void close() {
    closed = true;
  }
}
