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
 * <p>Invariants: a request in a terminal stage holds neither slot nor memory; slots and pieces in
 * use never exceed their limits. The monitor of this object guards the state and is notified of
 * changes. Safe for use by several threads.
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
          Comparator.<EngineRequest>comparingInt(r -> r.priority)
              .thenComparingLong(r -> r.sequenceNumber));
  private final Set<EngineRequest> batch = new LinkedHashSet<>();
  private final PrefixCache cache;
  private final ReportLog reports;
  private long nextSequenceNumber;
  private boolean killed;

  EngineState(EngineSettings settings, long incarnation, EngineFaults faults, EngineLedger ledger) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.faults = faults;
    this.ledger = ledger;
    orders = new EngineOrders(settings);
    table = new RequestTable(settings.memory(), ledger, incarnation);
    cache = new PrefixCache(settings.memory().prefixPieces());
    reports = new ReportLog(settings.reports());
    reports.sample(currentLoad(), System.nanoTime());
  }

  synchronized boolean isKilled() {
    return killed;
  }

  synchronized void kill() {
    killed = true;
    ledger.recordLostIncarnation(incarnation);
    notifyAll();
  }

  // Prefill.

  synchronized EngineRequest submitPrefill(String id, Completion message) {
    EngineRequest existing = table.find(id);
    if (existing != null) {
      return existing;
    }
    admit(message.model(), EngineRole.PREFILL);
    int tokens = AnswerOracle.promptTokens(message.prompt());
    int pieces = piecesOf(tokens);
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
            nextSequenceNumber++,
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

  /**
   * Waits until the KV cache of the first queued request fits, and starts the request; null once
   * the engine is killed.
   */
  synchronized EngineRequest awaitNextPrefill() throws InterruptedException {
    while (!killed && (queue.isEmpty() || !table.fits(queue.peek().pieces))) {
      wait();
    }
    if (killed) {
      return null;
    }
    EngineRequest request = queue.remove();
    request.stage = Stage.PREFILLING;
    table.reservePieces(request);
    request.cachedTokens =
        Math.min(cache.cachedTokens(request.prefixKeys), Math.max(0, request.promptTokens - 1));
    ledger.recordPrefill(incarnation, request.id, request.promptTokens, 0);
    return request;
  }

  /** Records the progress of a prefill; returns false if the prefill has ended. */
  synchronized boolean recordPrefillProgress(EngineRequest request, int tokens) {
    if (killed || request.stage != Stage.PREFILLING) {
      return false;
    }
    ledger.recordPrefill(incarnation, request.id, request.promptTokens, tokens);
    return true;
  }

  synchronized void finishPrefill(EngineRequest request) {
    if (!recordPrefillProgress(request, request.promptTokens - request.cachedTokens)) {
      return;
    }
    long now = System.nanoTime();
    request.stage = Stage.HELD;
    request.prefilled = true;
    request.evictAtNanos = now + TimeUnit.MILLISECONDS.toNanos(memory().evictAfterMillis());
    reports.add(cache.store(request.prefixKeys), now);
    notifyAll();
  }

  /** Waits until a prefill is finished. Its KV cache may have been evicted in the meantime. */
  synchronized void awaitPrefill(EngineRequest request) throws InterruptedException {
    while (!killed && !request.prefilled && !request.stage.isTerminal()) {
      wait();
    }
    throwIfKilled();
    if (!request.prefilled) {
      throw endedException(request);
    }
  }

  // Export and import.

  synchronized ExportAnswer beginExport(String blockId) {
    EngineRequest request = table.findExportable(blockId);
    if (request.prefilled) {
      request.evictAtNanos =
          System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(memory().exportTimeoutMillis());
    }
    return new ExportAnswer(request.promptTokens, kvBytes(request));
  }

  synchronized ExportAnswer finishExport(String blockId) {
    EngineRequest request = table.findExportable(blockId);
    endRequest(request, Stage.FINISHED, Fate.IMPORTED);
    return new ExportAnswer(request.promptTokens, kvBytes(request));
  }

  synchronized ExportAnswer abortExport(String blockId) {
    EngineRequest request = table.findExportable(blockId);
    if (request.prefilled) {
      request.evictAtNanos =
          System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(memory().evictAfterMillis());
    }
    return new ExportAnswer(request.promptTokens, kvBytes(request));
  }

  /** Reserves a slot and memory for an import. Returns the existing request if the id is known. */
  synchronized ImportStart beginImport(String id, long kvBytes) {
    EngineRequest existing = table.find(id);
    if (existing != null) {
      return new ImportStart(existing, false);
    }
    admit(null, EngineRole.DECODE);
    int tokens = (int) (kvBytes / memory().kvBytesPerToken());
    int pieces = piecesOf(tokens);
    if (!table.hasFreeSlot() || !table.fits(pieces)) {
      throw new RefusedException(503, "no_slot", "no slot or no memory is free");
    }
    EngineRequest request =
        new EngineRequest(id, nextSequenceNumber++, tokens, pieces, 0, List.of(), Stage.IMPORTING);
    table.add(request);
    table.reservePieces(request);
    table.reserveSlot(request);
    ledger.recordImport(incarnation, id, tokens);
    notifyAll();
    return new ImportStart(request, true);
  }

  /** A request, and whether this call created it. */
  record ImportStart(EngineRequest request, boolean isNew) {}

  synchronized boolean isImporting(EngineRequest request) {
    return !killed && request.stage == Stage.IMPORTING;
  }

  synchronized int importingCount() {
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
      endRequest(request, Stage.EVICTED, Fate.LOST);
    }
  }

  synchronized void awaitImport(EngineRequest request) throws InterruptedException {
    while (isImporting(request)) {
      wait();
    }
    throwIfKilled();
    if (request.stage.isTerminal()) {
      throw endedException(request);
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
    if (request.stage != Stage.HELD || !request.holdsSlot) {
      throw endedException(request);
    }
    if (!orders.models().contains(message.model())) {
      throw modelNotFound(message.model());
    }
    AnswerOracle.Answer answer = AnswerOracle.answer(message.model(), message.prompt());
    request.answer = answer;
    request.answerTokens = answer.tokens(message.maxTokens());
    request.finishReason = answer.length() <= message.maxTokens() ? "stop" : "length";
    request.producedTokens = Math.min(Math.max(0, message.resumeFrom()), request.answerTokens);
    request.stage = Stage.DECODING;
    ledger.recordDecode(id);
    if (request.producedTokens == request.answerTokens) {
      endRequest(request, Stage.FINISHED, Fate.DECODED);
    } else {
      batch.add(request);
    }
    notifyAll();
    return request;
  }

  /** Waits until the batch is not empty; returns its size, or 0 once the engine is killed. */
  synchronized int awaitBatchSize() throws InterruptedException {
    while (!killed && batch.isEmpty()) {
      wait();
    }
    return killed ? 0 : batch.size();
  }

  synchronized int batchSize() {
    return killed ? 0 : batch.size();
  }

  /** Decodes one token for each request of the batch. */
  synchronized void runDecodeStep() {
    if (killed) {
      return;
    }
    ledger.recordDecodedTokens(batch.size());
    for (EngineRequest request : List.copyOf(batch)) {
      request.producedTokens++;
      if (request.producedTokens == request.answerTokens) {
        endRequest(request, Stage.FINISHED, Fate.DECODED);
      }
    }
    notifyAll();
  }

  /** Waits until a token is decoded; returns false if the index is after the last token. */
  synchronized boolean awaitToken(EngineRequest request, int index) throws InterruptedException {
    while (!killed && index >= request.producedTokens && !request.stage.isTerminal()) {
      wait();
    }
    throwIfKilled();
    if (index < request.producedTokens) {
      return true;
    }
    if (request.producedTokens < request.answerTokens) {
      throw endedException(request);
    }
    return false;
  }

  // Cancellation, eviction, reports.

  synchronized String cancel(String id) {
    EngineRequest request = table.find(id);
    if (request == null) {
      return "unknown";
    }
    if (!request.stage.isTerminal()) {
      endRequest(request, Stage.CANCELLED, Fate.CANCELLED);
    }
    return request.stage.wireName;
  }

  synchronized void evictAll() {
    for (EngineRequest request : table.active()) {
      if (request.stage != Stage.QUEUED) {
        endRequest(request, Stage.EVICTED, Fate.EVICTED);
      }
    }
    reports.add(cache.clear(), System.nanoTime());
  }

  /** Evicts expired KV caches and samples the load. */
  synchronized void housekeep() {
    if (killed) {
      return;
    }
    long now = System.nanoTime();
    for (EngineRequest request : table.active()) {
      if (request.evictAtNanos != Long.MAX_VALUE && request.evictAtNanos - now <= 0) {
        endRequest(request, Stage.EVICTED, Fate.EVICTED);
      }
    }
    reports.sample(currentLoad(), now);
  }

  synchronized Load load() {
    return reports.load(System.nanoTime());
  }

  synchronized EngineMessages.CacheEvents eventsAfter(long seq) {
    return new EngineMessages.CacheEvents(incarnation, reports.eventsAfter(seq, System.nanoTime()));
  }

  synchronized HeldRequests heldRequests() {
    return new HeldRequests(incarnation, table.heldRequests());
  }

  long kvBytes(EngineRequest request) {
    return request.promptTokens * memory().kvBytesPerToken();
  }

  /** Returns the parameters with which another engine imports the KV cache of a request. */
  KvParams transferParams(EngineRequest request, String host, int port) {
    return new KvParams(
        null, null, engineId(), List.of(request.blockId), host, port, kvBytes(request));
  }

  String engineId() {
    return settings.name() + "/" + incarnation;
  }

  private Load currentLoad() {
    return new Load(
        incarnation,
        0,
        orders.roleName(),
        memory().slots(),
        table.usedSlots() + table.count(Stage.PREFILLING),
        queue.size(),
        memory().kvPieces(),
        table.freePieces(),
        orders.models());
  }

  private void admit(String model, EngineRole role) {
    if (faults.draining) {
      throw new RefusedException(503, "draining", "the engine takes no new requests");
    }
    if (orders.role() != role) {
      throw new RefusedException(503, "busy", "the engine's role is " + orders.roleName());
    }
    if (model != null && !orders.models().contains(model)) {
      throw modelNotFound(model);
    }
  }

  private void endRequest(EngineRequest request, Stage stage, Fate fate) {
    table.end(request, stage, fate);
    queue.remove(request);
    batch.remove(request);
    notifyAll();
  }

  private void throwIfKilled() throws InterruptedException {
    if (killed) {
      throw new InterruptedException("the engine was killed");
    }
  }

  private int piecesOf(int tokens) {
    return Math.max(1, (tokens + PrefixCache.PIECE_TOKENS - 1) / PrefixCache.PIECE_TOKENS);
  }

  private EngineMemory memory() {
    return settings.memory();
  }

  private static RefusedException modelNotFound(String model) {
    return new RefusedException(404, "model_not_found", "model " + model + " is not loaded");
  }

  private static RefusedException endedException(EngineRequest request) {
    if (request.stage == Stage.CANCELLED) {
      return new RefusedException(409, "cancelled", request.id + " was cancelled");
    }
    return new RefusedException(410, "evicted", "no KV cache is held for " + request.id);
  }
}
