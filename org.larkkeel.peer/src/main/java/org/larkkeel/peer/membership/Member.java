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
 * one is valid, independent of the order of arrival. Only the member itself increments the
 * refutation, to refute a suspicion or to announce that it is leaving or stops. Immutable and safe
 * for use by several threads.
 *
 * @param id the host and incarnation, never null
 * @param refutation a counter that increases within one incarnation
 * @param state the known state, never null
 * @param leaving true if the member finishes its work and takes no new ownership
 * @param address the address of the member, never null
 * @param dataCentre the data centre of the member, never null
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
   * Returns the record of a live member at the start of its incarnation.
   *
   * @param id the host and incarnation
   * @param address the address of the member
   * @param dataCentre the data centre of the member
   * @return the record
   */
  public static Member live(NodeId id, NodeAddress address, DataCentreName dataCentre) {
    return new Member(id, 0, MemberState.LIVE, false, address, dataCentre);
  }

  /**
   * Returns whether this record replaces another one about the same host.
   *
   * @param other the other record
   * @return true if this record is greater
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
   * Returns the record of the same member in another state.
   *
   * @param next the state
   * @return a record with the same incarnation and refutation
   */
  public Member withState(MemberState next) {
    return new Member(id, refutation, next, leaving, address, dataCentre);
  }

  /**
   * Returns the next record that the member announces about itself.
   *
   * @param nextRefutation the new refutation
   * @param nextState the new state
   * @param nextLeaving true if the member is leaving
   * @return the record
   */
  public Member withRefutation(int nextRefutation, MemberState nextState, boolean nextLeaving) {
    return new Member(id, nextRefutation, nextState, nextLeaving, address, dataCentre);
  }
}
