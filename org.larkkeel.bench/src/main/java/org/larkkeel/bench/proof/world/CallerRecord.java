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
 * What one caller saw of one request. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class CallerRecord {
  /** How a request ended for its caller. */
  public enum Ending {
    /** The answer was ended as whole. */
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
   * @param owner the identity that it was made for
   * @param index its place
   */
  public record Piece(String owner, int index) {}

  /**
   * An end of an answer.
   *
   * @param ending how
   * @param kind the error; null if it is none
   * @param at when
   */
  public record End(Ending ending, ErrorKind kind, long at) {}

  final RequestId request;
  final List<Piece> pieces = new ArrayList<>();
  final List<End> ends = new ArrayList<>();
  int expectedPieces;
  String identity = "";
  ImmutableSet<Role> needs = ImmutableSet.of();
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

  void piece(Piece piece) {
    if (!ends.isEmpty()) {
      piecesAfterEnd++;
    }
    pieces.add(piece);
  }

  void end(Ending ending, ErrorKind kind, long now) {
    ends.add(new End(ending, kind, now));
    onEnd.run();
  }

  /**
   * The request.
   *
   * @return its id
   */
  public RequestId request() {
    return request;
  }

  /**
   * What the caller got, but for the end.
   *
   * @return the pieces, in order
   */
  public List<Piece> pieces() {
    return List.copyOf(pieces);
  }

  /**
   * The ends of the answer; there ought to be one.
   *
   * @return the ends, in order
   */
  public List<End> ends() {
    return List.copyOf(ends);
  }

  /**
   * Pieces of the whole answer.
   *
   * @return a number above 0
   */
  public int expectedPieces() {
    return expectedPieces;
  }

  /**
   * Whose answer is wanted: the key, or the request if it has none.
   *
   * @return the identity
   */
  public String identity() {
    return identity;
  }

  /**
   * Pieces that came after the end.
   *
   * @return a number that ought to be 0
   */
  public int piecesAfterEnd() {
    return piecesAfterEnd;
  }

  /**
   * Tells whether the caller left.
   *
   * @return true if it closed its connection itself
   */
  public boolean isGone() {
    return goneAt < Long.MAX_VALUE;
  }

  /**
   * Tells whether the request shows that nodes serve again.
   *
   * @return true if so
   */
  public boolean isProbe() {
    return probe;
  }

  /**
   * Tells whether the request was in progress at a planned stop and refused for it.
   *
   * @return true if so
   */
  public boolean isCutByStop() {
    return nodeStopped && ends.stream().anyMatch(e -> e.kind() == ErrorKind.NOT_READY);
  }

  /**
   * When nobody waited for the answer any more.
   *
   * @return nanoseconds, the largest number if that never came
   */
  public long overAt() {
    long ended = ends.isEmpty() ? Long.MAX_VALUE : ends.getFirst().at();
    return Math.min(goneAt, ended);
  }

  /**
   * The roles of the upstreams that serve the request.
   *
   * @return the roles
   */
  public ImmutableSet<Role> needs() {
    return needs;
  }

  @Override
  public String toString() {
    return "request " + request + " (" + identity + ")";
  }
}
