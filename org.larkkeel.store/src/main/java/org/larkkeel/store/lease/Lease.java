/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.lease;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.larkkeel.lib.FencingNumber;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreEra;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.log.AppendId;
import org.larkkeel.store.log.WriterId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A lease on one stored object with conditional updates.
 *
 * <p>Clocks of different processes are never compared. The holder measures the term from before it
 * sent the write that was granted; other processes take over only after the object has not changed
 * for the duration plus a margin, by their own monotonic clocks.
 *
 * <p>Invariants: the fencing number grows with each takeover; while the rates of the clocks differ
 * by less than the margin, two processes do not hold the lease at once. A paused process may still
 * act after its lease has expired, so every action under the lease must carry the fencing number.
 *
 * <p>A store that is restored from a backup may have lost the lease, or contain an older one. In
 * each era the lease is therefore acquired only after a time in which any earlier holder must have
 * lost it, with a fencing number greater than all those of earlier eras.
 *
 * <p>Confined to the scheduler, except the public methods, which any thread may call.
 *
 * @since 0.1
 */
public final class Lease implements AutoCloseable {
  /** The name of the collection of leases. */
  public static final String COLLECTION = "leases";

  private static final Logger LOG = LoggerFactory.getLogger(Lease.class);

  /** The number of reads of the object per lease duration. */
  private static final int STEPS_PER_DURATION = 4;

  /** The takeover margin is the lease duration divided by this number. */
  private static final int MARGIN_DIVISOR = 10;

  /** The size of the range of fencing numbers of an era, larger than its number of takeovers. */
  private static final long FENCING_NUMBERS_PER_ERA = 1_000_000;

  private final ObjectApi api;
  private final ObjectKey key;
  private final WriterId self;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private final Duration duration;
  private volatile Optional<LeaseTerm> term = Optional.empty();
  private StoreVersion observedVersion = StoreVersion.NONE;
  private long era;
  private long observedAtNanos;
  private long writeCount;
  private Optional<WriteAttempt> unresolved = Optional.empty();

  /** True while this process tries to acquire or renew the lease. */
  private boolean wanted;

  private boolean polling;
  private boolean writing;
  private boolean closed;
  private Optional<LeaseRecord> lastGranted = Optional.empty();

  private record WriteAttempt(LeaseRecord record, long sentAtNanos) {}

  /**
   * Creates a lease that this process does not try to acquire yet.
   *
   * @param api the object API
   * @param name the name of the lease
   * @param self the id of this process
   * @param scheduler the API's scheduler
   * @param random the source of jitter
   * @param duration the time for which the lease is held without renewal
   */
  public Lease(
      ObjectApi api,
      String name,
      WriterId self,
      Scheduler scheduler,
      RandomGenerator random,
      Duration duration) {
    this.api = api;
    this.key = new ObjectKey(COLLECTION, name);
    this.self = self;
    this.scheduler = scheduler;
    this.random = random;
    this.duration = duration;
  }

  /** Tries to acquire the lease, and renews it while held, until released or closed. */
  public void start() {
    scheduler.execute(this::startAcquiring);
  }

  private void startAcquiring() {
    if (closed) {
      return;
    }
    wanted = true;
    if (!polling) {
      polling = true;
      read();
    }
  }

  /**
   * Stops acquiring and renewing the lease, and marks it as released so that another process can
   * take it over at once. If that write fails, the lease expires. Actions that were started under
   * the lease must still carry its fencing number.
   */
  public void release() {
    scheduler.execute(this::stopAcquiring);
  }

  private void stopAcquiring() {
    boolean held = term().isPresent();
    wanted = false;
    term = Optional.empty();
    if (held && !writing) {
      markReleased(observedVersion);
    }
  }

  private void markReleased(StoreVersion version) {
    LeaseRecord held = lastGranted.orElseThrow();
    writeCount++;
    LeaseRecord r = new LeaseRecord(self, held.fencing(), new AppendId(self, writeCount), true);
    LOG.info("event=lease-released lease={} fencing={}", key.name(), r.fencing());
    var unused = api.update(key, LeaseRecord.KIND, r.toSpec(), version);
  }

  /**
   * Returns the current lease term.
   *
   * @return the term, empty if the lease is not held now
   */
  public Optional<LeaseTerm> term() {
    return term.filter(t -> t.isHeld(scheduler.nanoTime()));
  }

  /** Releases the lease permanently. */
  @Override
  public void close() {
    release();
    scheduler.execute(() -> closed = true);
  }

  private void read() {
    if (!wanted) {
      polling = false;
      return;
    }
    api.get(key)
        .whenComplete(
            (object, failure) -> {
              resetOnNewEra();
              if (failure == null) {
                observed(object);
              } else if (isNotFound(failure) && isEarlierEraExpired()) {
                write(Optional.empty(), firstOfEra());
              } else {
                scheduleRead();
              }
            });
  }

  /** Discards the term and any unresolved write of an earlier era when a new era begins. */
  private void resetOnNewEra() {
    if (era != api.era().number()) {
      era = api.era().number();
      term = Optional.empty();
      unresolved = Optional.empty();
    }
  }

  /** Returns whether any holder of an earlier era must have lost the lease by now. */
  private boolean isEarlierEraExpired() {
    StoreEra now = api.era();
    return now.number() == 0 || scheduler.nanoTime() - now.sinceNanos() >= takeoverDelayNanos();
  }

  private FencingNumber firstOfEra() {
    return new FencingNumber(era * FENCING_NUMBERS_PER_ERA + 1);
  }

  private FencingNumber nextAfter(FencingNumber before) {
    return new FencingNumber(Math.max(before.value() + 1, firstOfEra().value()));
  }

  private boolean isOfEra(FencingNumber number) {
    return number.value() >= firstOfEra().value();
  }

  private void observed(StoredObject o) {
    LeaseRecord r = LeaseRecord.read(o.spec());
    long now = scheduler.nanoTime();
    if (!o.resourceVersion().equals(observedVersion)) {
      observedVersion = o.resourceVersion();
      observedAtNanos = now;
    }
    if (!r.holder().equals(self)) {
      term = Optional.empty();
    }
    unresolved.filter(a -> a.record.equals(r)).ifPresent(a -> granted(a, o));
    unresolved = Optional.empty();
    if (!isEarlierEraExpired()) {
      scheduleRead();
    } else if (r.holder().equals(self) && !r.released() && isOfEra(r.fencing())) {
      write(Optional.of(o), r.fencing());
    } else if (r.released() || now - observedAtNanos >= takeoverDelayNanos()) {
      write(Optional.of(o), nextAfter(r.fencing()));
    } else {
      scheduleRead();
    }
  }

  private long takeoverDelayNanos() {
    return duration.toNanos() + duration.toNanos() / MARGIN_DIVISOR;
  }

  private void write(Optional<StoredObject> old, FencingNumber fencing) {
    if (!wanted) {
      polling = false;
      return;
    }
    writeCount++;
    writing = true;
    LeaseRecord r = new LeaseRecord(self, fencing, new AppendId(self, writeCount), false);
    WriteAttempt a = new WriteAttempt(r, scheduler.nanoTime());
    old.map(o -> api.update(key, LeaseRecord.KIND, r.toSpec(), o.resourceVersion()))
        .orElseGet(() -> api.create(key, LeaseRecord.KIND, r.toSpec()))
        .whenComplete((o, failure) -> written(a, o, failure));
  }

  private void written(WriteAttempt a, StoredObject o, Throwable failure) {
    writing = false;
    if (failure == null) {
      granted(a, o);
    } else if (isUnknown(failure)) {
      unresolved = Optional.of(a);
    }
    scheduleRead();
  }

  private void granted(WriteAttempt a, StoredObject o) {
    lastGranted = Optional.of(a.record);
    if (!wanted) {
      markReleased(o.resourceVersion());
      return;
    }
    observedVersion = o.resourceVersion();
    observedAtNanos = scheduler.nanoTime();
    FencingNumber f = a.record.fencing();
    long sinceNanos =
        term.filter(t -> t.fencing().equals(f)).map(LeaseTerm::sinceNanos).orElse(a.sentAtNanos);
    if (term.isEmpty() || !term.get().fencing().equals(f)) {
      LOG.info("event=lease-held lease={} fencing={}", key.name(), f);
    }
    term = Optional.of(new LeaseTerm(f, sinceNanos, a.sentAtNanos + duration.toNanos()));
  }

  private void scheduleRead() {
    long step = duration.toNanos() / STEPS_PER_DURATION;
    long jitter = random.nextLong(step / STEPS_PER_DURATION + 1);
    scheduler.schedule(Duration.ofNanos(step - jitter), this::read);
  }

  private static boolean isNotFound(Throwable t) {
    return ObjectApiException.failureOf(t).orElse(null) instanceof ObjectApiFailure.NotFound;
  }

  private static boolean isUnknown(Throwable t) {
    return ObjectApiException.failureOf(t).orElse(null) instanceof ObjectApiFailure.OutcomeUnknown;
  }
}
