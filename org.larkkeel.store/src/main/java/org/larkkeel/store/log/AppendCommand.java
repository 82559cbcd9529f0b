/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.store.Backoff;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.log.AppendResult.Appended;
import org.larkkeel.store.log.AppendResult.Forgotten;
import org.larkkeel.store.log.AppendResult.Lost;
import org.larkkeel.store.log.AppendResult.NotAppended;
import org.larkkeel.store.log.AppendResult.Unresolved;

/**
 * Appends one entry. A lost answer is resolved by creating the same entry again: if the place is
 * taken, the entry there is read back and its id compared.
 *
 * <p>Used once, on the scheduler.
 *
 * @since 0.1
 */
public final class AppendCommand {
  private final ObjectLog log;
  private final LogEntry entry;
  private final Backoff backoff;
  private final CompletableFuture<AppendResult> result = new CompletableFuture<>();
  private Prior prior = Prior.NONE;
  private Guard guard = Guard.READ_MANIFEST;
  private int retries;

  AppendCommand(ObjectLog log, LogEntry entry) {
    this.log = log;
    this.entry = entry;
    this.backoff = log.newBackoff();
  }

  /**
   * Tells of earlier attempts to append the same entry.
   *
   * @param newPrior {@link Prior#UNRESOLVED} after a result of {@link Unresolved}
   * @return this
   */
  public AppendCommand setPrior(Prior newPrior) {
    prior = newPrior;
    return this;
  }

  /**
   * Chooses the protection from truncated places.
   *
   * @param newGuard {@link Guard#READ_MANIFEST} unless set
   * @return this
   */
  public AppendCommand setGuard(Guard newGuard) {
    guard = newGuard;
    return this;
  }

  /**
   * Appends.
   *
   * @return the outcome; never fails
   */
  public CompletableFuture<AppendResult> call() {
    create();
    return result;
  }

  private void create() {
    log.api()
        .create(log.name().entry(entry.number()), LogCodec.KIND, LogCodec.toSpec(entry))
        .whenComplete(
            (object, failure) -> {
              if (failure == null) {
                created(object);
              } else {
                failed(failureOf(failure));
              }
            });
  }

  private void failed(ObjectApiFailure f) {
    switch (f) {
      case ObjectApiFailure.AlreadyExists a -> readBack();
      case ObjectApiFailure.OutcomeUnknown u -> {
        prior = Prior.UNRESOLVED;
        retry(this::create);
      }
      default -> refused(f);
    }
  }

  private void refused(ObjectApiFailure f) {
    if (prior == Prior.NONE) {
      result.complete(new NotAppended(f));
    } else {
      retry(this::create);
    }
  }

  private void readBack() {
    log.reads()
        .entry(entry.number())
        .whenComplete(
            (found, failure) -> {
              if (failure != null) {
                prior = Prior.UNRESOLVED;
                retry(this::readBack);
              } else {
                compare(found);
              }
            });
  }

  private void compare(Optional<LogEntry> found) {
    if (found.isEmpty()) {
      result.complete(prior == Prior.NONE ? new Lost(found) : new Forgotten());
    } else if (found.get().id().equals(entry.id())) {
      result.complete(new Appended(entry));
    } else {
      result.complete(new Lost(found));
    }
  }

  private void created(StoredObject object) {
    if (guard == Guard.READ_MANIFEST) {
      checkManifest(object);
    } else {
      result.complete(new Appended(entry));
    }
  }

  private void checkManifest(StoredObject object) {
    log.reads()
        .manifest()
        .whenComplete(
            (manifest, failure) -> {
              if (failure != null) {
                prior = Prior.UNRESOLVED;
                retry(() -> checkManifest(object));
              } else if (manifest.truncated() < entry.number()) {
                result.complete(new Appended(entry));
              } else {
                withdraw(object);
              }
            });
  }

  /** Removes an entry created at a place that had been truncated; readers pass over it anyway. */
  private void withdraw(StoredObject object) {
    AppendResult r = prior == Prior.NONE ? new Lost(Optional.empty()) : new Forgotten();
    log.api()
        .delete(object.key(), object.resourceVersion())
        .whenComplete((ok, ignored) -> result.complete(r));
  }

  private void retry(Runnable step) {
    if (retries >= log.options().resolveAttempts()) {
      result.complete(new Unresolved());
      return;
    }
    retries++;
    log.scheduler().schedule(backoff.next(), step);
  }

  private static ObjectApiFailure failureOf(Throwable t) {
    return ObjectApiException.failureOf(t).orElseGet(ObjectApiFailure.OutcomeUnknown::new);
  }
}
