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
 * <p>Invariants: a request that is over holds neither slot nor memory; slots and pieces in use
 * never pass their limits as long as callers ask first. Not safe for use by several threads; the
 * monitor of {@link EngineState} guards it.
 *
 * @since 0.1
 */
final class RequestTable {
  private static final int REMEMBERED = 10_000;

  private final EngineMemory memory;
  private final EngineLedger ledger;
  private final long incarnation;
  private final Map<String, EngineRequest> known =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EngineRequest> eldest) {
          return size() > REMEMBERED && eldest.getValue().stage.isOver();
        }
      };

  private final Set<EngineRequest> live = new LinkedHashSet<>();
  private int slotsUsed;
  private int piecesUsed;

  RequestTable(EngineMemory memory, EngineLedger ledger, long incarnation) {
    this.memory = memory;
    this.ledger = ledger;
    this.incarnation = incarnation;
  }

  /** The request with an id, also if it is over; null if it is not known. */
  EngineRequest find(String id) {
    return known.get(id);
  }

  void add(EngineRequest request) {
    known.put(request.id, request);
    live.add(request);
  }

  void takePieces(EngineRequest request) {
    request.memory = true;
    piecesUsed += request.pieces;
  }

  void takeSlot(EngineRequest request) {
    request.slot = true;
    slotsUsed++;
    ledger.slot(request.id, true);
  }

  /** Ends a request and frees what it holds. */
  void end(EngineRequest request, Stage stage, Fate fate) {
    request.stage = stage;
    live.remove(request);
    if (request.memory) {
      request.memory = false;
      piecesUsed -= request.pieces;
    }
    if (request.slot) {
      request.slot = false;
      slotsUsed--;
      ledger.slot(request.id, false);
    }
    ledger.end(incarnation, request.id, fate);
  }

  boolean fits(int pieces) {
    return pieces <= piecesFree();
  }

  boolean hasSlot() {
    return slotsUsed < memory.slots();
  }

  int piecesFree() {
    return memory.kvPieces() - piecesUsed;
  }

  int slotsUsed() {
    return slotsUsed;
  }

  int count(Stage stage) {
    return (int) live.stream().filter(r -> r.stage == stage).count();
  }

  /** A copy of the requests that are not over. */
  List<EngineRequest> live() {
    return List.copyOf(live);
  }

  List<HeldRequest> held() {
    return live.stream().map(r -> new HeldRequest(r.id, r.stage.word, r.slot)).toList();
  }

  /** The request whose KV cache a block belongs to, if it can be exported. */
  EngineRequest exportable(String block) {
    for (EngineRequest request : live) {
      boolean holds = request.stage == Stage.HELD || request.stage == Stage.DECODING;
      if (holds && request.block.equals(block)) {
        return request;
      }
    }
    throw new RefusedException(410, "evicted", "the KV cache " + block + " is not held");
  }
}
