/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Communication between nodes: authenticated datagrams for the membership protocol, Thrift calls
 * over TCP for everything else.
 */
package org.larkkeel.peer.transport;
