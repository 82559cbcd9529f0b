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
import org.larkkeel.store.log.AppendResult.NotAppended;
import org.larkkeel.store.log.AppendResult.PositionTaken;
import org.larkkeel.store.log.AppendResult.PositionTruncated;
import org.larkkeel.store.log.AppendResult.Unresolved;

/**
 * Appends one entry to a log. If the store's response is lost, the same entry is created again; if
 * its position is then taken, the entry there is read back and its ID compared.
 *
 * <p>Each instance is used for one append. Confined to the scheduler.
 *
 * @since 0.1
 */
public final class AppendCommand {
  private final ObjectLog log;
  private final LogEntry entry;
  private final Backoff backoff;
  private final CompletableFuture<AppendResult> result = new CompletableFuture<>();
  private PriorAttempt prior = PriorAttempt.NONE;
  private TruncationGuard guard = TruncationGuard.READ_MANIFEST;
  private int retryCount;

  AppendCommand(ObjectLog log, LogEntry entry) {
    this.log = log;
    this.entry = entry;
    this.backoff = log.newBackoff();
  }

  /**
   * Sets what is known of earlier attempts to append the same entry.
   *
   * @param newPrior {@link PriorAttempt#UNRESOLVED} if an earlier attempt returned {@link
   *     Unresolved}; {@link PriorAttempt#NONE} unless set
   * @return this
   */
  public AppendCommand setPriorAttempt(PriorAttempt newPrior) {
    prior = newPrior;
    return this;
  }

  /**
   * Sets the protection against appending at a truncated position.
   *
   * @param newGuard the protection; {@link TruncationGuard#READ_MANIFEST} unless set
   * @return this
   */
  public AppendCommand setGuard(TruncationGuard newGuard) {
    guard = newGuard;
    return this;
  }

  /**
   * Appends the entry.
   *
   * @return completes with the outcome on the scheduler; never fails
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
                createFailed(failureOf(failure));
              }
            });
  }

  private void createFailed(ObjectApiFailure f) {
    switch (f) {
      case ObjectApiFailure.AlreadyExists a -> readBack();
      case ObjectApiFailure.OutcomeUnknown u -> {
        prior = PriorAttempt.UNRESOLVED;
        retry(this::create);
      }
      default -> createRefused(f);
    }
  }

  private void createRefused(ObjectApiFailure f) {
    if (prior == PriorAttempt.NONE) {
      result.complete(new NotAppended(f));
    } else {
      retry(this::create);
    }
  }

  private void readBack() {
    log.reader()
        .entry(entry.number())
        .whenComplete(
            (found, failure) -> {
              if (failure != null) {
                prior = PriorAttempt.UNRESOLVED;
                retry(this::readBack);
              } else {
                compare(found);
              }
            });
  }

  private void compare(Optional<LogEntry> found) {
    if (found.isEmpty()) {
      result.complete(
          prior == PriorAttempt.NONE ? new PositionTaken(found) : new PositionTruncated());
    } else if (found.get().id().equals(entry.id())) {
      result.complete(new Appended(entry));
    } else {
      result.complete(new PositionTaken(found));
    }
  }

  private void created(StoredObject object) {
    if (guard == TruncationGuard.READ_MANIFEST) {
      checkManifest(object);
    } else {
      result.complete(new Appended(entry));
    }
  }

  private void checkManifest(StoredObject object) {
    log.reader()
        .manifest()
        .whenComplete(
            (manifest, failure) -> {
              if (failure != null) {
                prior = PriorAttempt.UNRESOLVED;
                retry(() -> checkManifest(object));
              } else if (manifest.truncatedThrough() < entry.number()) {
                result.complete(new Appended(entry));
              } else {
                withdraw(object);
              }
            });
  }

  /** Deletes an entry that was created at a truncated position; readers ignore such entries. */
  private void withdraw(StoredObject object) {
    AppendResult r =
        prior == PriorAttempt.NONE ? new PositionTaken(Optional.empty()) : new PositionTruncated();
    log.api()
        .delete(object.key(), object.resourceVersion())
        .whenComplete((ok, ignored) -> result.complete(r));
  }

  private void retry(Runnable step) {
    if (retryCount >= log.options().maxResolveAttempts()) {
      result.complete(new Unresolved());
      return;
    }
    retryCount++;
    log.scheduler().schedule(backoff.nextDelay(), step);
  }

  private static ObjectApiFailure failureOf(Throwable t) {
    return ObjectApiException.failureOf(t).orElseGet(ObjectApiFailure.OutcomeUnknown::new);
  }
}
