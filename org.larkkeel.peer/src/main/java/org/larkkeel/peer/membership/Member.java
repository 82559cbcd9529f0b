/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import org.larkkeel.lib.DataCentreName;

/**
 * One record about a member.
 *
 * <p>Records about one host are totally ordered by (incarnation, refutation, state); the greatest
 * one counts, in whatever order they arrive. Only the member itself raises the refutation, to
 * contradict a suspicion or to announce that it is leaving. Immutable and safe for use by several
 * threads.
 *
 * @param id the host and incarnation, never null
 * @param refutation grows within one incarnation
 * @param state what is known, never null
 * @param leaving true if the member finishes its work and takes no new ownership
 * @param address where the member listens, never null
 * @param dataCentre where the member runs, never null
 * @since 0.1
 */
public record Member(
    NodeId id,
    int refutation,
    MemberState state,
    boolean leaving,
    NodeAddress address,
    DataCentreName dataCentre) {

  /**
   * A live member at the start of its incarnation.
   *
   * @param id the host and incarnation
   * @param address where it listens
   * @param dataCentre where it runs
   * @return the record
   */
  public static Member live(NodeId id, NodeAddress address, DataCentreName dataCentre) {
    return new Member(id, 0, MemberState.LIVE, false, address, dataCentre);
  }

  /**
   * Tells whether this record replaces another one about the same host.
   *
   * @param other the other record
   * @return true if this one is greater
   */
  public boolean supersedes(Member other) {
    int order = id.incarnation().compareTo(other.id.incarnation());
    if (order == 0) {
      order = Integer.compare(refutation, other.refutation);
    }
    if (order == 0) {
      order = state.compareTo(other.state);
    }
    return order > 0;
  }

  /**
   * The same member in another state.
   *
   * @param next the state
   * @return a record of the same incarnation and refutation
   */
  public Member withState(MemberState next) {
    return new Member(id, refutation, next, leaving, address, dataCentre);
  }

  /**
   * The next record of the member about itself.
   *
   * @param nextRefutation the new refutation
   * @param nextState the new state
   * @param nextLeaving whether it is leaving
   * @return the record
   */
  public Member announce(int nextRefutation, MemberState nextState, boolean nextLeaving) {
    return new Member(id, nextRefutation, nextState, nextLeaving, address, dataCentre);
  }
}
