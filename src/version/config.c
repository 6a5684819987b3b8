#include "version/config.h"

int
Cfg_CompareVersions(CfgVersion a, CfgVersion b)
{
    if (a.term != b.term) {
        return a.term < b.term ? -1 : 1;
    }
    return a.index < b.index ? -1 : a.index > b.index;
}
