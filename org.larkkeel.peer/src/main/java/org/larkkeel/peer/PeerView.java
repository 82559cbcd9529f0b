/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.ownership.Ownership;

/**
 * What a node knows of the cluster at one moment.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param self the node's own record
 * @param members all members known, with the node itself
 * @param owners the hosts that may own something
 * @param ownership which of the owners has a key
 * @param revisions the configuration revision each present host last said it holds
 * @param joined true once a peer has answered
 * @since 0.1
 */
public record PeerView(
    Member self,
    List<Member> members,
    Set<HostName> owners,
    Ownership ownership,
    Map<HostName, Revision> revisions,
    boolean joined) {}
