/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.larkkeel.standin.AnswerOracle;
import org.larkkeel.standin.EngineLedger;
import org.larkkeel.standin.EngineLedger.Fate;
import org.larkkeel.standin.EngineMemory;
import org.larkkeel.standin.EngineRole;
import org.larkkeel.standin.EngineSettings;
import org.larkkeel.standin.internal.EngineMessages.Completion;
import org.larkkeel.standin.internal.EngineMessages.ExportAnswer;
import org.larkkeel.standin.internal.EngineMessages.HeldRequests;
import org.larkkeel.standin.internal.EngineMessages.KvParams;
import org.larkkeel.standin.internal.EngineMessages.Load;
import org.larkkeel.standin.internal.EngineRequest.Stage;

/**
 * The requests, slots and memory of one incarnation of an engine.
 *
 * <p>Invariants: a request that is over holds neither slot nor memory; slots and pieces in use
 * never pass their limits. The monitor guards all; it is notified at each change. Safe for use by
 * several threads.
 *
 * @since 0.1
 */
final class EngineState {
  final EngineSettings settings;
  final long incarnation;
  final EngineFaults faults;
  final EngineLedger ledger;
  final EngineOrders orders;

  private final RequestTable table;
  private final PriorityQueue<EngineRequest> queue =
      new PriorityQueue<>(
          Comparator.<EngineRequest>comparingInt(r -> r.priority).thenComparingLong(r -> r.order));
  private final Set<EngineRequest> batch = new LinkedHashSet<>();
  private final PrefixCache cache;
  private final ReportLog reports;
  private long nextOrder;
  private boolean dead;

  EngineState(EngineSettings settings, long incarnation, EngineFaults faults, EngineLedger ledger) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.faults = faults;
    this.ledger = ledger;
    orders = new EngineOrders(settings);
    table = new RequestTable(settings.memory(), ledger, incarnation);
    cache = new PrefixCache(settings.memory().prefixPieces());
    reports = new ReportLog(settings.reports());
    reports.sample(loadNow(), System.nanoTime());
  }

  synchronized boolean isDead() {
    return dead;
  }

  synchronized void die() {
    dead = true;
    ledger.loseAll(incarnation);
    notifyAll();
  }

  // Prefill.

  synchronized EngineRequest submitPrefill(String id, Completion message) {
    EngineRequest known = table.find(id);
    if (known != null) {
      return known;
    }
    admit(message.model(), EngineRole.PREFILL);
    int tokens = AnswerOracle.promptTokens(message.prompt());
    int pieces = piecesFor(tokens);
    if (pieces > memory().kvPieces()) {
      throw RefusedException.malformed(
          "prompt has " + tokens + " tokens: it never fits, send a shorter one");
    }
    if (queue.size() >= memory().queueLimit()) {
      throw new RefusedException(503, "busy", "the prefill queue is full");
    }
    EngineRequest request =
        new EngineRequest(
            id,
            nextOrder++,
            tokens,
            pieces,
            message.priority(),
            PrefixCache.keysOf(message.prompt()),
            Stage.QUEUED);
    table.add(request);
    queue.add(request);
    notifyAll();
    return request;
  }

  /** Takes the first of the queue as soon as its KV cache fits; null once dead. */
  synchronized EngineRequest takePrefill() throws InterruptedException {
    while (!dead && (queue.isEmpty() || !table.fits(queue.peek().pieces))) {
      wait();
    }
    if (dead) {
      return null;
    }
    EngineRequest request = queue.remove();
    request.stage = Stage.PREFILLING;
    table.takePieces(request);
    request.cachedTokens =
        Math.min(cache.cachedTokens(request.prefixKeys), Math.max(0, request.promptTokens - 1));
    ledger.prefill(incarnation, request.id, request.promptTokens, 0);
    return request;
  }

  /** Records progress of a prefill; false if it is over. */
  synchronized boolean progressPrefill(EngineRequest request, int tokens) {
    if (dead || request.stage != Stage.PREFILLING) {
      return false;
    }
    ledger.prefill(incarnation, request.id, request.promptTokens, tokens);
    return true;
  }

  synchronized void finishPrefill(EngineRequest request) {
    if (!progressPrefill(request, request.promptTokens - request.cachedTokens)) {
      return;
    }
    long now = System.nanoTime();
    request.stage = Stage.HELD;
    request.prefilled = true;
    request.evictAt = now + TimeUnit.MILLISECONDS.toNanos(memory().evictMillis());
    reports.add(cache.store(request.prefixKeys), now);
    notifyAll();
  }

  /** Waits until a prefill is done; it may have been evicted since. */
  synchronized void awaitPrefill(EngineRequest request) throws InterruptedException {
    while (!dead && !request.prefilled && !request.stage.isOver()) {
      wait();
    }
    failIfDead();
    if (!request.prefilled) {
      throw over(request);
    }
  }

  // Export and import.

  synchronized ExportAnswer beginExport(String block) {
    EngineRequest request = table.exportable(block);
    if (request.prefilled) {
      request.evictAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(memory().exportMillis());
    }
    return new ExportAnswer(request.promptTokens, kvBytes(request));
  }

  synchronized ExportAnswer finishExport(String block) {
    EngineRequest request = table.exportable(block);
    end(request, Stage.FINISHED, Fate.IMPORTED);
    return new ExportAnswer(request.promptTokens, kvBytes(request));
  }

  synchronized ExportAnswer abortExport(String block) {
    EngineRequest request = table.exportable(block);
    if (request.prefilled) {
      request.evictAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(memory().evictMillis());
    }
    return new ExportAnswer(request.promptTokens, kvBytes(request));
  }

  /** Takes a slot for an import; an id that is known already is not taken again. */
  synchronized Taken beginImport(String id, long kvBytes) {
    EngineRequest known = table.find(id);
    if (known != null) {
      return new Taken(known, false);
    }
    admit(null, EngineRole.DECODE);
    int tokens = (int) (kvBytes / memory().kvBytesPerToken());
    int pieces = piecesFor(tokens);
    if (!table.hasSlot() || !table.fits(pieces)) {
      throw new RefusedException(503, "no_slot", "no slot or no memory is free");
    }
    EngineRequest request =
        new EngineRequest(id, nextOrder++, tokens, pieces, 0, List.of(), Stage.IMPORTING);
    table.add(request);
    table.takePieces(request);
    table.takeSlot(request);
    ledger.startImport(incarnation, id, tokens);
    notifyAll();
    return new Taken(request, true);
  }

  /** A request, and whether this call took it. */
  record Taken(EngineRequest request, boolean isNew) {}

  synchronized boolean isImporting(EngineRequest request) {
    return !dead && request.stage == Stage.IMPORTING;
  }

  synchronized int importing() {
    return table.count(Stage.IMPORTING);
  }

  synchronized void finishImport(EngineRequest request) {
    if (isImporting(request)) {
      request.stage = Stage.HELD;
      notifyAll();
    }
  }

  synchronized void failImport(EngineRequest request) {
    if (isImporting(request)) {
      end(request, Stage.EVICTED, Fate.LOST);
    }
  }

  synchronized void awaitImport(EngineRequest request) throws InterruptedException {
    while (isImporting(request)) {
      wait();
    }
    failIfDead();
    if (request.stage.isOver()) {
      throw over(request);
    }
  }

  // Decode.

  synchronized EngineRequest decode(String id, Completion message) {
    EngineRequest request = table.find(id);
    if (request == null) {
      throw new RefusedException(410, "evicted", "no KV cache is held for " + id);
    }
    if (request.answer != null && request.stage != Stage.CANCELLED) {
      return request;
    }
    if (request.stage != Stage.HELD || !request.slot) {
      throw over(request);
    }
    if (!orders.models().contains(message.model())) {
      throw noModel(message.model());
    }
    AnswerOracle.Answer answer = AnswerOracle.answer(message.model(), message.prompt());
    request.answer = answer;
    request.end = answer.tokens(message.maxTokens());
    request.finishReason = answer.length() <= message.maxTokens() ? "stop" : "length";
    request.produced = Math.min(Math.max(0, message.resumeFrom()), request.end);
    request.stage = Stage.DECODING;
    ledger.decode(id);
    if (request.produced == request.end) {
      end(request, Stage.FINISHED, Fate.DECODED);
    } else {
      batch.add(request);
    }
    notifyAll();
    return request;
  }

  /** Waits for requests to decode; their number, or 0 once dead. */
  synchronized int awaitBatch() throws InterruptedException {
    while (!dead && batch.isEmpty()) {
      wait();
    }
    return dead ? 0 : batch.size();
  }

  synchronized int batchSize() {
    return dead ? 0 : batch.size();
  }

  /** Writes one token of each request of the batch. */
  synchronized void step() {
    if (dead) {
      return;
    }
    ledger.decoded(batch.size());
    for (EngineRequest request : List.copyOf(batch)) {
      request.produced++;
      if (request.produced == request.end) {
        end(request, Stage.FINISHED, Fate.DECODED);
      }
    }
    notifyAll();
  }

  /** Waits until a token is written; false after the last one. */
  synchronized boolean awaitToken(EngineRequest request, int index) throws InterruptedException {
    while (!dead && index >= request.produced && !request.stage.isOver()) {
      wait();
    }
    failIfDead();
    if (index < request.produced) {
      return true;
    }
    if (request.produced < request.end) {
      throw over(request);
    }
    return false;
  }

  // Cancel, eviction, reports.

  synchronized String cancel(String id) {
    EngineRequest request = table.find(id);
    if (request == null) {
      return "unknown";
    }
    if (!request.stage.isOver()) {
      end(request, Stage.CANCELLED, Fate.CANCELLED);
    }
    return request.stage.word;
  }

  synchronized void evictAll() {
    for (EngineRequest request : table.live()) {
      if (request.stage != Stage.QUEUED) {
        end(request, Stage.EVICTED, Fate.EVICTED);
      }
    }
    reports.add(cache.clear(), System.nanoTime());
  }

  /** Evicts what has been held too long and samples the load. */
  synchronized void housekeep() {
    if (dead) {
      return;
    }
    long now = System.nanoTime();
    for (EngineRequest request : table.live()) {
      if (request.evictAt != Long.MAX_VALUE && request.evictAt - now <= 0) {
        end(request, Stage.EVICTED, Fate.EVICTED);
      }
    }
    reports.sample(loadNow(), now);
  }

  synchronized Load load() {
    return reports.load(System.nanoTime());
  }

  synchronized EngineMessages.CacheEvents eventsAfter(long seq) {
    return new EngineMessages.CacheEvents(incarnation, reports.eventsAfter(seq, System.nanoTime()));
  }

  synchronized HeldRequests held() {
    return new HeldRequests(incarnation, table.held());
  }

  long kvBytes(EngineRequest request) {
    return request.promptTokens * memory().kvBytesPerToken();
  }

  /** What another engine needs to import the KV cache of a request. */
  KvParams transferParams(EngineRequest request, String host, int port) {
    return new KvParams(
        null, null, engineId(), List.of(request.block), host, port, kvBytes(request));
  }

  String engineId() {
    return settings.name() + "/" + incarnation;
  }

  private Load loadNow() {
    return new Load(
        incarnation,
        0,
        orders.roleWord(),
        memory().slots(),
        table.slotsUsed() + table.count(Stage.PREFILLING),
        queue.size(),
        memory().kvPieces(),
        table.piecesFree(),
        orders.models());
  }

  private void admit(String model, EngineRole role) {
    if (faults.draining) {
      throw new RefusedException(503, "draining", "the engine takes no new requests");
    }
    if (orders.role() != role) {
      throw new RefusedException(503, "busy", "the engine's role is " + orders.roleWord());
    }
    if (model != null && !orders.models().contains(model)) {
      throw noModel(model);
    }
  }

  private void end(EngineRequest request, Stage stage, Fate fate) {
    table.end(request, stage, fate);
    queue.remove(request);
    batch.remove(request);
    notifyAll();
  }

  private void failIfDead() throws InterruptedException {
    if (dead) {
      throw new InterruptedException("the engine was killed");
    }
  }

  private int piecesFor(int tokens) {
    return Math.max(1, (tokens + PrefixCache.PIECE_TOKENS - 1) / PrefixCache.PIECE_TOKENS);
  }

  private EngineMemory memory() {
    return settings.memory();
  }

  private static RefusedException noModel(String model) {
    return new RefusedException(404, "model_not_found", "model " + model + " is not loaded");
  }

  private static RefusedException over(EngineRequest request) {
    if (request.stage == Stage.CANCELLED) {
      return new RefusedException(409, "cancelled", request.id + " was cancelled");
    }
    return new RefusedException(410, "evicted", "no KV cache is held for " + request.id);
  }
}
