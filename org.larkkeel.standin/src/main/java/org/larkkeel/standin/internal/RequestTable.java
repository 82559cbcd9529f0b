/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.larkkeel.standin.EngineLedger;
import org.larkkeel.standin.EngineLedger.Fate;
import org.larkkeel.standin.EngineMemory;
import org.larkkeel.standin.internal.EngineMessages.HeldRequest;
import org.larkkeel.standin.internal.EngineRequest.Stage;

/**
 * The requests of one incarnation of an engine, with their slots and memory.
 *
 * <p>Invariants: a request in a terminal stage holds neither slot nor memory; slots and pieces in
 * use never exceed their limits, provided that callers check for free capacity before they reserve.
 * Not safe for use by several threads; guarded by the monitor of {@link EngineState}.
 *
 * @since 0.1
 */
final class RequestTable {
  private static final int MAX_REMEMBERED_REQUESTS = 10_000;

  private final EngineMemory memory;
  private final EngineLedger ledger;
  private final long incarnation;
  private final Map<String, EngineRequest> requestsById =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EngineRequest> eldest) {
          return size() > MAX_REMEMBERED_REQUESTS && eldest.getValue().stage.isTerminal();
        }
      };

  private final Set<EngineRequest> active = new LinkedHashSet<>();
  private int usedSlots;
  private int usedPieces;

  RequestTable(EngineMemory memory, EngineLedger ledger, long incarnation) {
    this.memory = memory;
    this.ledger = ledger;
    this.incarnation = incarnation;
  }

  /** Returns the request with an id, also in a terminal stage; null if the id is unknown. */
  EngineRequest find(String id) {
    return requestsById.get(id);
  }

  void add(EngineRequest request) {
    requestsById.put(request.id, request);
    active.add(request);
  }

  void reservePieces(EngineRequest request) {
    request.holdsMemory = true;
    usedPieces += request.pieces;
  }

  void reserveSlot(EngineRequest request) {
    request.holdsSlot = true;
    usedSlots++;
    ledger.recordSlot(request.id, true);
  }

  /** Ends a request and releases its slot and memory. */
  void end(EngineRequest request, Stage stage, Fate fate) {
    request.stage = stage;
    active.remove(request);
    if (request.holdsMemory) {
      request.holdsMemory = false;
      usedPieces -= request.pieces;
    }
    if (request.holdsSlot) {
      request.holdsSlot = false;
      usedSlots--;
      ledger.recordSlot(request.id, false);
    }
    ledger.recordEnd(incarnation, request.id, fate);
  }

  boolean fits(int pieces) {
    return pieces <= freePieces();
  }

  boolean hasFreeSlot() {
    return usedSlots < memory.slots();
  }

  int freePieces() {
    return memory.kvPieces() - usedPieces;
  }

  int usedSlots() {
    return usedSlots;
  }

  int count(Stage stage) {
    return (int) active.stream().filter(r -> r.stage == stage).count();
  }

  /** Returns a copy of the requests that are not in a terminal stage. */
  List<EngineRequest> active() {
    return List.copyOf(active);
  }

  List<HeldRequest> heldRequests() {
    return active.stream().map(r -> new HeldRequest(r.id, r.stage.wireName, r.holdsSlot)).toList();
  }

  /**
   * Returns the request whose KV cache has a block id; refuses with 410 if it is not exportable.
   */
  EngineRequest findExportable(String blockId) {
    for (EngineRequest request : active) {
      boolean isExportable = request.stage == Stage.HELD || request.stage == Stage.DECODING;
      if (isExportable && request.blockId.equals(blockId)) {
        return request;
      }
    }
    throw new RefusedException(410, "evicted", "the KV cache " + blockId + " is not held");
  }
}
