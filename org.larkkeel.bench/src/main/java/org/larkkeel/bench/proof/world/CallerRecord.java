/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import org.larkkeel.config.Role;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.RequestId;

/**
 * The observations of one caller about one request.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class CallerRecord {
  /** The way in which a request ended for its caller. */
  public enum Ending {
    /** The answer was ended as complete. */
    COMPLETE,
    /** The answer of an earlier run was sent. */
    REPLAYED,
    /** An error was sent. */
    REFUSED,
    /** The connection broke because the node died. */
    BROKEN
  }

  /**
   * A piece of an answer.
   *
   * @param owner the identity of the request that the piece answers
   * @param index the position in the answer, from 0
   */
  public record Piece(String owner, int index) {}

  /**
   * An end of an answer.
   *
   * @param ending the way in which it ended
   * @param kind the error; null if the end is not an error
   * @param at the time in nanoseconds
   */
  public record End(Ending ending, ErrorKind kind, long at) {}

  final RequestId request;
  final List<Piece> pieces = new ArrayList<>();
  final List<End> ends = new ArrayList<>();
  int expectedPieces;
  String identity = "";
  ImmutableSet<Role> requiredRoles = ImmutableSet.of();
  long sentAt;
  long goneAt = Long.MAX_VALUE;
  boolean nodeStopped;
  boolean probe;
  int piecesAfterEnd;
  Runnable onEnd = () -> {};

  CallerRecord(RequestId request) {
    this.request = request;
  }

  boolean isOpen() {
    return ends.isEmpty() && goneAt == Long.MAX_VALUE;
  }

  void addPiece(Piece piece) {
    if (!ends.isEmpty()) {
      piecesAfterEnd++;
    }
    pieces.add(piece);
  }

  void addEnd(Ending ending, ErrorKind kind, long now) {
    ends.add(new End(ending, kind, now));
    onEnd.run();
  }

  /**
   * Returns the request.
   *
   * @return the id of the request
   */
  public RequestId request() {
    return request;
  }

  /**
   * Returns the pieces that the caller received.
   *
   * @return the pieces, in order
   */
  public List<Piece> pieces() {
    return List.copyOf(pieces);
  }

  /**
   * Returns the ends of the answer. More than one breaks a promise.
   *
   * @return the ends, in order
   */
  public List<End> ends() {
    return List.copyOf(ends);
  }

  /**
   * Returns the number of pieces of the complete answer.
   *
   * @return a number above 0
   */
  public int expectedPieces() {
    return expectedPieces;
  }

  /**
   * Returns the identity of the expected answer: the idempotency key, or the request if it has
   * none.
   *
   * @return the identity
   */
  public String identity() {
    return identity;
  }

  /**
   * Returns the number of pieces received after the end.
   *
   * @return a number; more than 0 breaks a promise
   */
  public int piecesAfterEnd() {
    return piecesAfterEnd;
  }

  /**
   * Returns whether the caller disconnected.
   *
   * @return true if it closed its connection itself
   */
  public boolean isGone() {
    return goneAt < Long.MAX_VALUE;
  }

  /**
   * Returns whether the request checks that the nodes serve again after the faults.
   *
   * @return true if so
   */
  public boolean isProbe() {
    return probe;
  }

  /**
   * Returns whether the request was in progress at a planned stop and was refused because of it.
   *
   * @return true if so
   */
  public boolean isRefusedByStop() {
    return nodeStopped && ends.stream().anyMatch(e -> e.kind() == ErrorKind.NOT_READY);
  }

  /**
   * Returns the time from which the caller did not wait for the answer any more.
   *
   * @return nanoseconds, {@link Long#MAX_VALUE} if the caller still waits
   */
  public long endedAt() {
    long ended = ends.isEmpty() ? Long.MAX_VALUE : ends.getFirst().at();
    return Math.min(goneAt, ended);
  }

  /**
   * Returns the roles of the upstreams that the request needs.
   *
   * @return the roles
   */
  public ImmutableSet<Role> requiredRoles() {
    return requiredRoles;
  }

  @Override
  public String toString() {
    return "request " + request + " (" + identity + ")";
  }
}
