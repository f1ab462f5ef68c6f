#include "packet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <string.h>

#define IP_VERSION_4 4
#define WORD_BYTES 4
/* Bytes of the TCP header that are read: from the ports to the flags. */
#define TCP_NEEDED_BYTES 14

bool
MvPacket_Parse(const uint8_t *data, size_t length, mv_packet_t *packet,
               mv_counter_id_t *reason)
{
    struct iphdr ip;
    struct tcphdr tcp;
    *reason = MV_COUNTER_PACKETS_MALFORMED;
    if (length < sizeof(ip)) {
        return false;
    }
    memcpy(&ip, data, sizeof(ip));
    size_t header = (size_t)ip.ihl * WORD_BYTES;
    size_t total = ntohs(ip.tot_len);
    if (ip.version != IP_VERSION_4 || header < sizeof(ip) || total > length ||
        total < header) {
        return false;
    }
    if (ntohs(ip.frag_off) & (IP_MF | IP_OFFMASK)) {
        *reason = MV_COUNTER_PACKETS_FRAGMENT;
        return false;
    }
    if (ip.protocol != IPPROTO_TCP) {
        *reason = MV_COUNTER_PACKETS_PROTOCOL;
        return false;
    }
    if (total - header < TCP_NEEDED_BYTES) {
        return false;
    }
    memset(&tcp, 0, sizeof(tcp));
    memcpy(&tcp, data + header, TCP_NEEDED_BYTES);
    *packet = (mv_packet_t){
        .source = ntohl(ip.saddr),
        .destination = ntohl(ip.daddr),
        .source_port = ntohs(tcp.source),
        .destination_port = ntohs(tcp.dest),
        .is_syn = tcp.syn && !tcp.ack && !tcp.rst && !tcp.fin,
        .is_close = tcp.fin || tcp.rst,
    };
    return true;
}
